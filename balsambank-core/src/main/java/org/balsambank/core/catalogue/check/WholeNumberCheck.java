package org.balsambank.core.catalogue.check;

import java.math.BigDecimal;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;

/**
 * Checks that ports and counts are integers.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class WholeNumberCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_WHOLE = "limit.whole";

    private static final Set<String> INTEGER_FIELDS = Set.of("port", "concurrency", "adapterSlots");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            if (INTEGER_FIELDS.contains(field.name()) && hasFraction(field.value())) {
                addViolation(
                        field.value().position(),
                        MSG_WHOLE,
                        field.name(),
                        field.value().text());
            }
        }
    }

    private static boolean hasFraction(final DocumentNode value) {
        return value.kind() == DocumentNode.Kind.NUMBER
                && new BigDecimal(value.text()).stripTrailingZeros().scale() > 0;
    }
}
