package org.balsambank.core.catalogue.check;

import java.util.Map;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that a model runner has a base model and an application runner has a service.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class TargetKindCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_TARGET_KIND = "target.kind";

    private static final Map<String, String> REQUIRED_FIELDS =
            Map.of("model_runner", "baseModel", "application_runner", "service");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section != Section.TARGET) {
            return;
        }
        final String kind = entry.text("kind").orElse("");
        final String required = REQUIRED_FIELDS.get(kind);
        if (required != null && entry.field(required).isEmpty()) {
            addViolation(entry.position(), MSG_TARGET_KIND, kind, required);
        }
    }
}
