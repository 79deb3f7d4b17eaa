package org.balsambank.core.catalogue.store;

import java.util.List;

import org.balsambank.core.id.Revision;

/**
 * The result of applying a catalogue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the catalogue
 * @param changes the changed entries, empty if the catalogue was already in force
 */
public record ApplyResult(Revision revision, List<EntryChange> changes) {
    /** Copies the list. */
    public ApplyResult {
        changes = List.copyOf(changes);
    }
}
