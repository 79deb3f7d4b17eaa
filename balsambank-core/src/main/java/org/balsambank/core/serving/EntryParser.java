package org.balsambank.core.serving;

import java.util.Optional;

import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.serving.replica.EntryOrder;

/** Parses and orders entries that other processes write to the key-value service. Thread-safe. */
public interface EntryParser extends EntryOrder {
    /**
     * Parses an entry.
     *
     * @param change the change of the entry; a removal has no value
     * @return the decoded update; empty if the key is not one that this VM uses
     */
    Optional<EntryUpdate> parse(KeyValueChange change);
}
