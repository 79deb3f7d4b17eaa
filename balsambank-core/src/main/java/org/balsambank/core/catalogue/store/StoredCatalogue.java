package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.balsambank.core.catalogue.store.EntryChange.Kind;
import org.balsambank.core.id.Revision;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;
import org.balsambank.protocol.generated.catalogue.CatalogueHead;

/**
 * A catalogue read from the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param head the head
 * @param headRevision the store revision of the head, 0 if there is no head
 * @param snapshot the snapshot referenced by the head
 */
record StoredCatalogue(CatalogueHead head, long headRevision, Snapshot snapshot) {
    /**
     * Returns whether a write has taken effect.
     *
     * @param writeId the id of the write
     * @return true if the head records the write
     */
    boolean recordsWrite(final String writeId) {
        return head.getWritesList().stream()
                .anyMatch(write -> write.getWriteId().equals(writeId));
    }

    /**
     * Returns the changes after a revision.
     *
     * @param base the revision
     * @return the changes, ordered by key
     */
    List<EntryChange> changesSince(final Revision base) {
        final List<EntryChange> changes = new ArrayList<>();
        snapshot.entries().forEach((key, entry) -> addIfLater(changes, key, entry, base));
        head.getRemovedList().stream()
                .filter(removed -> removed.getRevision() > base.value())
                .forEach(removed -> changes.add(new EntryChange(
                        new EntryKey(removed.getKey()), Kind.REMOVED, new Revision(removed.getRevision()))));
        changes.sort(Comparator.comparing(EntryChange::key));
        return changes;
    }

    private static void addIfLater(
            final List<EntryChange> changes, final EntryKey key, final CatalogueEntry entry, final Revision base) {
        if (entry.getChangedIn() > base.value()) {
            changes.add(new EntryChange(key, Kind.CHANGED, new Revision(entry.getChangedIn())));
        }
    }
}
