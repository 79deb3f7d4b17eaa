package org.balsambank.core.serving.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueSnapshot;

/**
 * A local replica of the entries of the key-value service.
 *
 * <p>Invariants: the revision of a key never decreases; removed keys are kept as tombstones, so that an older value
 * cannot restore them. Confined to the decision loop.
 */
public final class EntryReplica {
    private static final int MAX_TOMBSTONES = 20_000;

    private final Map<String, KeyValueChange> entries = new HashMap<>();
    private final NavigableMap<Long, Map<String, KeyValueChange>> byRevision = new TreeMap<>();
    private long revision;
    private int tombstoneCount;

    /** Creates an empty replica. */
    public EntryReplica() {}

    /**
     * Returns the latest revision up to which the replica is complete.
     *
     * @return the revision, 0 before the first snapshot
     */
    public long revision() {
        return revision;
    }

    /**
     * Applies one change.
     *
     * @param change the change
     * @return true if it is newer than the known revision of its key
     */
    public boolean apply(final KeyValueChange change) {
        final KeyValueChange known = entries.get(change.key());
        if (known != null && known.revision() >= change.revision()) {
            return false;
        }
        if (known == null && change.value().isEmpty() && tombstoneCount >= MAX_TOMBSTONES) {
            return false;
        }
        entries.put(change.key(), change);
        if (known != null) {
            removeFromRevisionIndex(known);
        }
        byRevision
                .computeIfAbsent(change.revision(), ignored -> new HashMap<>())
                .put(change.key(), change);
        tombstoneCount += tombstones(change) - (known == null ? 0 : tombstones(known));
        return true;
    }

    /**
     * Records that the replica is complete up to a revision.
     *
     * @param upTo the revision
     */
    public void markComplete(final long upTo) {
        revision = Math.max(revision, upTo);
    }

    /**
     * Applies a snapshot of all entries.
     *
     * @param snapshot the snapshot
     * @return the differences from the previous content, including removals
     */
    public List<KeyValueChange> replaceAll(final KeyValueSnapshot snapshot) {
        final List<KeyValueChange> changes = new ArrayList<>();
        final Set<String> listed = new HashSet<>();
        for (final KeyValueEntry entry : snapshot.entries()) {
            listed.add(entry.key());
            add(changes, new KeyValueChange(entry.key(), Optional.of(entry.value()), entry.revision()));
        }
        for (final KeyValueChange known : List.copyOf(entries.values())) {
            if (known.value().isPresent() && !listed.contains(known.key()) && known.revision() <= snapshot.revision()) {
                add(changes, new KeyValueChange(known.key(), Optional.empty(), snapshot.revision()));
            }
        }
        markComplete(snapshot.revision());
        return changes;
    }

    /**
     * Returns the changes after a revision, for another VM.
     *
     * @param after the revision that the other VM knows
     * @return the changes, oldest first
     */
    public List<KeyValueChange> changesAfter(final long after) {
        return byRevision.tailMap(after, false).values().stream()
                .flatMap(changes -> changes.values().stream())
                .toList();
    }

    private void removeFromRevisionIndex(final KeyValueChange change) {
        final Map<String, KeyValueChange> sameRevision = byRevision.get(change.revision());
        sameRevision.remove(change.key());
        if (sameRevision.isEmpty()) {
            byRevision.remove(change.revision());
        }
    }

    private void add(final List<KeyValueChange> changes, final KeyValueChange change) {
        if (apply(change)) {
            changes.add(change);
        }
    }

    private static int tombstones(final KeyValueChange change) {
        return change.value().isEmpty() ? 1 : 0;
    }
}
