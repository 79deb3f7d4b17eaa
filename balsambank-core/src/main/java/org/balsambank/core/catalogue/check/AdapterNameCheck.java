package org.balsambank.core.catalogue.check;

import java.util.List;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that adapter ids and versions contain no character that is a separator in requests.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class AdapterNameCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_SEPARATOR = "adapter.separator";

    private static final List<String> SEPARATORS = List.of("@", "/");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section == Section.ADAPTER) {
            Stream.concat(entry.field("id").stream(), entry.items("versions").stream())
                    .forEach(this::visitName);
        }
    }

    private void visitName(final DocumentNode name) {
        for (final String separator : SEPARATORS) {
            if (name.text().contains(separator)) {
                addViolation(name.position(), MSG_SEPARATOR, name.text(), separator);
            }
        }
    }
}
