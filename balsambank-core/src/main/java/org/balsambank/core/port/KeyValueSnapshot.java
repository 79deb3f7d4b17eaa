package org.balsambank.core.port;

import java.util.List;

/**
 * The entries with a prefix at one revision of the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the store
 * @param entries the entries of all keys with the prefix
 */
public record KeyValueSnapshot(long revision, List<KeyValueEntry> entries) {
    /** Copies the entries. */
    public KeyValueSnapshot {
        entries = List.copyOf(entries);
    }
}
