package org.balsambank.core.serving;

import java.util.Optional;

import org.balsambank.core.port.KeyValueChange;

/** Reads entries that others write to the key-value service. Thread-safe. */
public interface EntryParser {
    /**
     * Reads an entry.
     *
     * @param change the entry, or its end
     * @return what it says; empty if it concerns nobody here
     */
    Optional<EntryUpdate> parse(KeyValueChange change);
}
