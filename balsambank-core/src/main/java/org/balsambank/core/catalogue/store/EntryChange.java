package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;

import org.balsambank.core.id.Revision;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;

/**
 * A change of one entry between two revisions of the catalogue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key of the entry
 * @param kind the kind of change
 * @param revision the revision that made the change
 */
public record EntryChange(EntryKey key, Kind kind, Revision revision) {
    /** The kind of change. */
    public enum Kind {
        /** The entry was added. */
        ADDED,
        /** The value of the entry changed. */
        CHANGED,
        /** The entry was removed. */
        REMOVED
    }

    /**
     * Computes the changes between two sets of entries.
     *
     * @param before the entries before
     * @param after the entries after
     * @param revision the revision that makes the changes
     * @return the changes, ordered by key
     */
    static List<EntryChange> between(
            final SortedMap<EntryKey, CatalogueEntry> before,
            final SortedMap<EntryKey, CatalogueEntry> after,
            final Revision revision) {
        final List<EntryChange> changes = new ArrayList<>();
        after.forEach((key, entry) -> {
            final CatalogueEntry previous = before.get(key);
            if (previous == null) {
                changes.add(new EntryChange(key, Kind.ADDED, revision));
            } else if (!sameValue(previous, entry)) {
                changes.add(new EntryChange(key, Kind.CHANGED, revision));
            }
        });
        before.keySet().stream()
                .filter(key -> !after.containsKey(key))
                .forEach(key -> changes.add(new EntryChange(key, Kind.REMOVED, revision)));
        changes.sort(Comparator.comparing(EntryChange::key));
        return List.copyOf(changes);
    }

    /**
     * Compares two entries and ignores the revisions in which they changed.
     *
     * @param first one entry
     * @param second the other entry
     * @return true if the values are equal
     */
    static boolean sameValue(final CatalogueEntry first, final CatalogueEntry second) {
        return first.toBuilder()
                .clearChangedIn()
                .build()
                .equals(second.toBuilder().clearChangedIn().build());
    }

    @Override
    public String toString() {
        return key + " " + kind.name().toLowerCase(Locale.ROOT) + " in revision " + revision.value();
    }
}
