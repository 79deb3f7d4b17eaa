package org.balsambank.core.catalogue.check;

import java.math.BigDecimal;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that no number is negative.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class NegativeLimitCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_NEGATIVE = "limit.negative";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            final DocumentNode value = field.value();
            if (value.kind() == DocumentNode.Kind.NUMBER && new BigDecimal(value.text()).signum() < 0) {
                addViolation(value.position(), MSG_NEGATIVE, field.name(), value.text());
            }
        }
    }
}
