package org.balsambank.core.id;

import java.util.Objects;

/**
 * A reference to one version of an adapter, written as {@code adapter@version}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter the adapter
 * @param version its version
 */
public record AdapterRef(AdapterId adapter, AdapterVersion version) implements Comparable<AdapterRef> {
    private static final char SEPARATOR = '@';

    /** Rejects null components. */
    public AdapterRef {
        Objects.requireNonNull(adapter);
        Objects.requireNonNull(version);
    }

    /**
     * Parses a reference.
     *
     * @param text {@code adapter@version}
     * @return the reference
     * @throws IllegalArgumentException if the text has no version, or if a part is empty
     */
    public static AdapterRef parse(final String text) {
        final int at = text.lastIndexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException("adapter reference has no version: " + text);
        }
        return new AdapterRef(new AdapterId(text.substring(0, at)), new AdapterVersion(text.substring(at + 1)));
    }

    @Override
    public int compareTo(final AdapterRef other) {
        final int byAdapter = adapter.compareTo(other.adapter);
        return byAdapter != 0 ? byAdapter : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return adapter.value() + SEPARATOR + version.value();
    }
}
