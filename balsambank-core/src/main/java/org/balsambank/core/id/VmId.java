package org.balsambank.core.id;

/**
 * Identifies a VM that runs the daemon.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as written in the catalogue, the settings or the VM list
 */
public record VmId(String value) implements Comparable<VmId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public VmId {
        Ids.requireNonEmpty(value, "VmId");
    }

    @Override
    public int compareTo(final VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
