package org.balsambank.core.catalogue.check;

import java.math.BigDecimal;
import java.util.Map;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that numbers do not exceed the maximum of their field.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class LimitRangeCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_RANGE = "limit.range";

    private static final BigDecimal MAX_UNITS = BigDecimal.valueOf(1_000_000_000);
    private static final Map<String, BigDecimal> MAXIMA = Map.of(
            "rate", MAX_UNITS,
            "burst", MAX_UNITS,
            "weight", BigDecimal.valueOf(1_000),
            "port", BigDecimal.valueOf(65_535),
            "concurrency", BigDecimal.valueOf(100_000),
            "adapterSlots", BigDecimal.valueOf(100_000));

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        MAXIMA.forEach((name, maximum) -> entry.field(name).ifPresent(value -> visit(name, value, maximum)));
    }

    private void visit(final String name, final DocumentNode value, final BigDecimal maximum) {
        if (value.kind() == DocumentNode.Kind.NUMBER && new BigDecimal(value.text()).compareTo(maximum) > 0) {
            addViolation(value.position(), MSG_RANGE, name, value.text(), maximum.toPlainString());
        }
    }
}
