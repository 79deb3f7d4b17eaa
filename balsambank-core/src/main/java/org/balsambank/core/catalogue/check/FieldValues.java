package org.balsambank.core.catalogue.check;

import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.document.DocumentNode;

/**
 * Collects field values of a document.
 *
 * <p>Stateless and thread-safe.
 */
final class FieldValues {
    private FieldValues() {}

    /**
     * Collects the distinct values of a field in all entries of a list.
     *
     * @param root the root object
     * @param list the name of the list
     * @param field the name of the field
     * @return the values
     */
    static Set<String> of(final DocumentNode root, final String list, final String field) {
        return root.items(list).stream()
                .flatMap(entry -> entry.text(field).stream())
                .collect(Collectors.toUnmodifiableSet());
    }
}
