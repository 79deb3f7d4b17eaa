package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that no name or id is empty.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class EmptyTextCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_EMPTY = "text.empty";

    private static final Set<String> MAY_BE_EMPTY = Set.of("path");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            if (!MAY_BE_EMPTY.contains(field.name())) {
                visit(field.name(), field.value());
                field.value().items().forEach(item -> visit(field.name(), item));
            }
        }
    }

    private void visit(final String name, final DocumentNode value) {
        if (value.kind() == DocumentNode.Kind.STRING && value.text().isEmpty()) {
            addViolation(value.position(), MSG_EMPTY, name);
        }
    }
}
