package org.balsambank.standin.kv;

import java.util.List;

/**
 * The result of a watch.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the store when the watch returned
 * @param changes the changes after the watched revision, oldest first
 */
record WatchResult(long revision, List<KeyChange> changes) {
    /** Copies the list of changes. */
    WatchResult {
        changes = List.copyOf(changes);
    }
}
