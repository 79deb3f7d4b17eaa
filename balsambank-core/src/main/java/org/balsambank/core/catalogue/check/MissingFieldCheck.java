package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.FieldSpec;
import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that each entry has the fields that it must have.
 *
 * <p>Used for one file by one thread.
 */
final class MissingFieldCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_MISSING_FIELD = "field.missing";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final FieldSpec rule : section.fields()) {
            if (rule.required() && entry.field(rule.name()).isEmpty()) {
                log(entry.position(), MSG_MISSING_FIELD, rule.name());
            }
        }
    }
}
