package org.balsambank.core.catalogue.store;

import java.util.List;
import java.util.stream.Collectors;

import org.balsambank.core.id.Revision;

/**
 * Thrown when another operator changed the catalogue first. Nothing was applied.
 *
 * <p>Immutable and thread-safe.
 */
public final class ApplyConflictException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Revision current;
    private final transient List<EntryChange> changes;

    /**
     * Creates an exception.
     *
     * @param current the revision in force
     * @param changes the changes since the revision that the operator started from
     */
    public ApplyConflictException(final Revision current, final List<EntryChange> changes) {
        super("the catalogue is at revision " + current.value() + ": "
                + changes.stream().map(EntryChange::toString).collect(Collectors.joining(", ")));
        this.current = current;
        this.changes = List.copyOf(changes);
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision
     */
    public Revision current() {
        return current;
    }

    /**
     * Returns the conflicting changes, each with its revision.
     *
     * @return the changes, ordered by key
     */
    public List<EntryChange> changes() {
        return changes;
    }
}
