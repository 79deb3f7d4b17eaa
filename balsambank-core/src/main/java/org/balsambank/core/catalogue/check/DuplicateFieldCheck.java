package org.balsambank.core.catalogue.check;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that no entry has duplicate fields.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateFieldCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_DUPLICATE_FIELD = "field.duplicate";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        final Set<String> seen = new HashSet<>();
        for (final Field field : entry.fields()) {
            if (!seen.add(field.name())) {
                addViolation(field.position(), MSG_DUPLICATE_FIELD, field.name());
            }
        }
    }
}
