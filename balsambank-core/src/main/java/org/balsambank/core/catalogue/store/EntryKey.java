package org.balsambank.core.catalogue.store;

import org.balsambank.protocol.generated.catalogue.CatalogueEntry;

/**
 * The key of a catalogue entry, such as {@code team/theses}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the entry type and the id, separated by a slash
 */
public record EntryKey(String value) implements Comparable<EntryKey> {
    /**
     * Returns the key of an entry.
     *
     * @param entry the entry
     * @return its key
     */
    static EntryKey of(final CatalogueEntry entry) {
        return new EntryKey(
                switch (entry.getEntryCase()) {
                    case TEAM -> "team/" + entry.getTeam().getId();
                    case ADAPTER -> "adapter/" + entry.getAdapter().getId();
                    case TARGET -> "target/" + entry.getTarget().getId();
                    case SERVICE -> "service/" + entry.getService().getName();
                    case DOMAIN_OUT -> "domain-out/" + entry.getDomainOut();
                    case VM_OUT -> "vm-out/" + entry.getVmOut();
                    default -> "unknown/";
                });
    }

    @Override
    public int compareTo(final EntryKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
