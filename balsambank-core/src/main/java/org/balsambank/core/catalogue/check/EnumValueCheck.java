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
 * Checks that units, classes and kinds are among the known words.
 *
 * <p>Used for one file by one thread.
 */
final class EnumValueCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_ENUM = "value.unknown";

    private static final List<String> UNITS = words(RateUnit.values());
    private static final List<String> CLASSES = words(TrafficClass.values());
    private static final List<String> KINDS = words(TargetKind.values());

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        entry.field("unit").ifPresent(value -> visit("unit", value, UNITS));
        entry.field("class").ifPresent(value -> visit("class", value, CLASSES));
        entry.field("kind").ifPresent(value -> visit("kind", value, KINDS));
    }

    private void visit(final String name, final DocumentNode value, final List<String> words) {
        if (value.kind() == DocumentNode.Kind.STRING && !words.contains(value.text())) {
            log(value.position(), MSG_ENUM, name, value.text(), String.join(", ", words));
        }
    }

    private static List<String> words(final Enum<?>[] values) {
        return Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT))
                .toList();
    }
}
