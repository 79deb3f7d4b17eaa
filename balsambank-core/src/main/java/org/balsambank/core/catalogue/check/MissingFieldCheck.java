package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.FieldSpec;
import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that each entry has its required fields.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class MissingFieldCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_MISSING_FIELD = "field.missing";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final FieldSpec spec : section.fields()) {
            if (spec.required() && entry.field(spec.name()).isEmpty()) {
                addViolation(entry.position(), MSG_MISSING_FIELD, spec.name());
            }
        }
    }
}
