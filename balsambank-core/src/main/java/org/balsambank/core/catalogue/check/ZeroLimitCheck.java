package org.balsambank.core.catalogue.check;

import java.math.BigDecimal;
import java.util.Map;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that weights, ports and concurrency limits are not zero.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class ZeroLimitCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_ZERO = "limit.zero";

    private static final Map<Section, Set<String>> POSITIVE_FIELDS =
            Map.of(Section.TEAM, Set.of("weight"), Section.TARGET, Set.of("port", "concurrency"));

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        POSITIVE_FIELDS.getOrDefault(section, Set.of()).stream().sorted().forEach(name -> entry.field(name)
                .ifPresent(value -> visit(name, value)));
    }

    private void visit(final String name, final DocumentNode value) {
        if (value.kind() == DocumentNode.Kind.NUMBER && new BigDecimal(value.text()).signum() == 0) {
            addViolation(value.position(), MSG_ZERO, name);
        }
    }
}
