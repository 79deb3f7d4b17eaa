package org.balsambank.core.id;

/**
 * Identifies a team, which owns adapters and has a purchased rate limit.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as written in the catalogue
 */
public record TeamId(String value) implements Comparable<TeamId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public TeamId {
        Ids.requireNonEmpty(value, "TeamId");
    }

    @Override
    public int compareTo(final TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
