package org.balsambank.core.catalogue.check;

import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.document.DocumentNode;

/**
 * Collects texts of a document.
 *
 * <p>Stateless and thread-safe.
 */
final class FieldValues {
    private FieldValues() {}

    /**
     * Collects the texts of a field over all entries of a list.
     *
     * @param root the outermost object
     * @param list the name of the list
     * @param field the name of the field
     * @return the texts
     */
    static Set<String> of(final DocumentNode root, final String list, final String field) {
        return root.items(list).stream()
                .flatMap(entry -> entry.text(field).stream())
                .collect(Collectors.toUnmodifiableSet());
    }
}
