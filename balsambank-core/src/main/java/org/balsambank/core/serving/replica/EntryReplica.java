package org.balsambank.core.serving.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.StoreEra;
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.serving.replica.EntryOrder.Kind;

/**
 * A local replica of the entries of the key-value service.
 *
 * <p>Invariants: the revision of a key never decreases within an era; removed keys are kept as tombstones, so that an
 * older value cannot restore them; a state of an earlier era is replaced only by a later one: a write of the new era,
 * or a state of the copy that the {@link EntryOrder} tells to be newer. States of earlier eras that stay in force are
 * retained and passed to other VMs. Confined to the decision loop.
 */
public final class EntryReplica {
    private static final int MAX_TOMBSTONES = 20_000;

    private final EntryOrder order;
    private final StoreEra era;
    private final Map<String, KeyValueChange> entries = new HashMap<>();
    private final NavigableMap<Long, Map<String, KeyValueChange>> byRevision = new TreeMap<>();
    private final Map<String, KeyValueChange> retained = new HashMap<>();
    private long revision;
    private int tombstoneCount;
    private int retainedChanges;

    /**
     * Creates an empty replica.
     *
     * @param order the order of entries across eras
     * @param era the newest known era
     */
    public EntryReplica(final EntryOrder order, final StoreEra era) {
        this.order = Objects.requireNonNull(order);
        this.era = Objects.requireNonNull(era);
    }

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
     * @return true if it is newer than the known state of its key and differs from it
     */
    public boolean apply(final KeyValueChange change) {
        final KeyValueChange known = entries.get(change.key());
        if (known == null && change.value().isEmpty() && tombstoneCount >= MAX_TOMBSTONES) {
            return false;
        }
        if (known != null && !supersedes(change, known)) {
            updateRetained(known);
            return false;
        }
        put(change, known);
        updateRetained(change);
        return known == null || !sameState(change, known);
    }

    private void put(final KeyValueChange change, final KeyValueChange known) {
        entries.put(change.key(), change);
        if (known != null) {
            removeFromRevisionIndex(known);
        }
        byRevision
                .computeIfAbsent(change.revision(), ignored -> new HashMap<>())
                .put(change.key(), change);
        tombstoneCount += tombstones(change) - (known == null ? 0 : tombstones(known));
    }

    private boolean supersedes(final KeyValueChange change, final KeyValueChange known) {
        if (sameEra(change, known) || order.kind(change.key()) == Kind.SYSTEM) {
            return change.revision() > known.revision();
        }
        return change.revision() > known.revision() ? isLater(change, known) : !isLater(known, change);
    }

    /** Returns whether a state of a later era is later than one of an earlier era, which the copy may not hold. */
    private boolean isLater(final KeyValueChange shown, final KeyValueChange earlier) {
        final boolean writtenInEra =
                StoreRevision.era(shown.revision()) == era.current() && shown.revision() > era.copyEnd();
        // The copy ends before the known state if its revision is lower: a higher one was written after it.
        final boolean writtenAfter =
                StoreRevision.revision(shown.revision()) >= StoreRevision.revision(earlier.revision());
        if (writtenInEra || writtenAfter) {
            return true;
        }
        if (shown.value().isEmpty()) {
            return order.kind(shown.key()) == Kind.LAPSING;
        }
        if (earlier.value().isEmpty()) {
            return false;
        }
        final ByteString value = shown.value().get();
        final ByteString earlierValue = earlier.value().get();
        return value.equals(earlierValue) || order.compare(shown.key(), value, earlierValue) > 0;
    }

    /**
     * Returns whether two states of a key tell the same. Claims, registrations and evidence of the system are told by
     * their revision too.
     */
    private boolean sameState(final KeyValueChange change, final KeyValueChange known) {
        return change.value().equals(known.value())
                && (change.value().isEmpty() || !sameEra(change, known) && order.kind(change.key()) != Kind.SYSTEM);
    }

    private void updateRetained(final KeyValueChange entry) {
        final boolean retains = StoreRevision.era(entry.revision()) < StoreRevision.era(revision)
                && order.kind(entry.key()) != Kind.SYSTEM;
        final KeyValueChange before = retains ? retained.put(entry.key(), entry) : retained.remove(entry.key());
        if (retains && !entry.equals(before)) {
            retainedChanges++;
        }
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
     * Applies all entries at a revision, including states of earlier eras that stay in force.
     *
     * @param atRevision the revision
     * @param listing the entries
     * @return the differences from the previous content, including removals
     */
    public List<KeyValueChange> replaceAll(final long atRevision, final Collection<KeyValueChange> listing) {
        markComplete(atRevision);
        final List<KeyValueChange> changes = new ArrayList<>();
        final Set<String> listed = new HashSet<>();
        for (final KeyValueChange entry : listing) {
            listed.add(entry.key());
            add(changes, entry);
        }
        for (final KeyValueChange known : List.copyOf(entries.values())) {
            if (known.value().isEmpty() || listed.contains(known.key()) || known.revision() > atRevision) {
                continue;
            }
            if (StoreRevision.era(known.revision()) < StoreRevision.era(atRevision)
                    && order.kind(known.key()) == Kind.LASTING) {
                updateRetained(known);
            } else {
                final KeyValueChange removal = new KeyValueChange(known.key(), Optional.empty(), atRevision);
                put(removal, known);
                updateRetained(removal);
                changes.add(removal);
            }
        }
        return changes;
    }

    /**
     * Returns the changes after a revision, for another VM. If the revision is of an earlier era, they include the
     * retained states.
     *
     * @param after the revision that the other VM knows
     * @return the changes, oldest first
     */
    public List<KeyValueChange> changesAfter(final long after) {
        final List<KeyValueChange> changes = new ArrayList<>();
        if (StoreRevision.era(after) < StoreRevision.era(revision)) {
            changes.addAll(retained.values());
        }
        byRevision.tailMap(after, false).values().forEach(each -> changes.addAll(each.values()));
        return changes;
    }

    /**
     * Returns the states of earlier eras that stay in force, as the key-value service shows none that is newer.
     *
     * @return the states, removals included
     */
    public Collection<KeyValueChange> retained() {
        return List.copyOf(retained.values());
    }

    /**
     * Returns how often a state was added to those that are retained.
     *
     * @return a number that increases
     */
    int retainedChanges() {
        return retainedChanges;
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

    /** Returns an entry as a change of its key. */
    static KeyValueChange toChange(final KeyValueEntry entry) {
        return new KeyValueChange(entry.key(), Optional.of(entry.value()), entry.revision());
    }

    private static boolean sameEra(final KeyValueChange one, final KeyValueChange other) {
        return StoreRevision.era(one.revision()) == StoreRevision.era(other.revision());
    }

    private static int tombstones(final KeyValueChange change) {
        return change.value().isEmpty() ? 1 : 0;
    }
}
