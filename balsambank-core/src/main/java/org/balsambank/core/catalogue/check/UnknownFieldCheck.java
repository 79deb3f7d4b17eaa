package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that entries have no unknown fields.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class UnknownFieldCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_UNKNOWN_FIELD = "field.unknown";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            if (section.field(field.name()).isEmpty()) {
                addViolation(field.position(), MSG_UNKNOWN_FIELD, field.name());
            }
        }
    }
}
