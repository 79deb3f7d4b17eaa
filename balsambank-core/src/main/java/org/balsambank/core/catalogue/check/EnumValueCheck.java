package org.balsambank.core.catalogue.check;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that units, traffic classes and target kinds have known values.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class EnumValueCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_ENUM = "value.unknown";

    private static final List<String> UNITS = names(RateUnit.values());
    private static final List<String> CLASSES = names(TrafficClass.values());
    private static final List<String> KINDS = names(TargetKind.values());

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        entry.field("unit").ifPresent(value -> visit("unit", value, UNITS));
        entry.field("class").ifPresent(value -> visit("class", value, CLASSES));
        entry.field("kind").ifPresent(value -> visit("kind", value, KINDS));
    }

    private void visit(final String name, final DocumentNode value, final List<String> allowed) {
        if (value.kind() == DocumentNode.Kind.STRING && !allowed.contains(value.text())) {
            addViolation(value.position(), MSG_ENUM, name, value.text(), String.join(", ", allowed));
        }
    }

    private static List<String> names(final Enum<?>[] values) {
        return Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT))
                .toList();
    }
}
