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
 * The entries of the key-value service, as far as this VM knows.
 *
 * <p>Invariants: the revision of a key never goes back; a key that was removed is remembered, so that an older value
 * can't bring it back. Confined to the decision loop.
 */
public final class EntryReplica {
    private static final int MAX_REMOVED = 20_000;

    private final Map<String, KeyValueChange> entries = new HashMap<>();
    private final NavigableMap<Long, Map<String, KeyValueChange>> byRevision = new TreeMap<>();
    private long revision;
    private int removed;

    /** Creates a replica that knows nothing. */
    public EntryReplica() {}

    /**
     * Returns the newest revision up to which nothing is missing.
     *
     * @return the revision, 0 before the first list
     */
    public long revision() {
        return revision;
    }

    /**
     * Takes over one change.
     *
     * @param change the change
     * @return true if it is newer than what was known of its key
     */
    public boolean apply(final KeyValueChange change) {
        final KeyValueChange known = entries.get(change.key());
        if (known != null && known.revision() >= change.revision()) {
            return false;
        }
        if (known == null && change.value().isEmpty() && removed >= MAX_REMOVED) {
            return false;
        }
        entries.put(change.key(), change);
        if (known != null) {
            unlist(known);
        }
        byRevision
                .computeIfAbsent(change.revision(), ignored -> new HashMap<>())
                .put(change.key(), change);
        removed += count(change) - (known == null ? 0 : count(known));
        return true;
    }

    /**
     * Notes that nothing is missing up to a revision.
     *
     * @param upTo the revision
     */
    public void complete(final long upTo) {
        revision = Math.max(revision, upTo);
    }

    /**
     * Takes over a list of all entries.
     *
     * @param snapshot the list
     * @return the changes against what was known, removals included
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
        complete(snapshot.revision());
        return changes;
    }

    /**
     * Returns what has changed, for another VM.
     *
     * @param after the revision that the other VM has seen
     * @return the changes, oldest first
     */
    public List<KeyValueChange> changesAfter(final long after) {
        return byRevision.tailMap(after, false).values().stream()
                .flatMap(changes -> changes.values().stream())
                .toList();
    }

    private void unlist(final KeyValueChange change) {
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

    private static int count(final KeyValueChange change) {
        return change.value().isEmpty() ? 1 : 0;
    }
}
