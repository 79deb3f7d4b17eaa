package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that the service of each target is defined in the catalogue.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class UnknownServiceCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_UNKNOWN_SERVICE = "service.unknown";

    private Set<String> services = Set.of();

    @Override
    void beginDocument(final DocumentNode root) {
        services = FieldValues.of(root, Section.SERVICE.listName(), "name");
    }

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section != Section.TARGET) {
            return;
        }
        entry.field("service")
                .filter(service -> !services.contains(service.text()))
                .ifPresent(service -> addViolation(service.position(), MSG_UNKNOWN_SERVICE, service.text()));
    }
}
