package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that each field of an entry is known.
 *
 * <p>Used for one file by one thread.
 */
final class UnknownFieldCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_UNKNOWN_FIELD = "field.unknown";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            if (section.field(field.name()).isEmpty()) {
                log(field.position(), MSG_UNKNOWN_FIELD, field.name());
            }
        }
    }
}
