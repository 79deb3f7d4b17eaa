package org.balsambank.core.catalogue.check;

import java.util.Map;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that a model runner names its base model and an application runner its service.
 *
 * <p>Used for one file by one thread.
 */
final class TargetKindCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_TARGET_KIND = "target.kind";

    private static final Map<String, String> FIELD_OF_KIND =
            Map.of("model_runner", "baseModel", "application_runner", "service");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section != Section.TARGET) {
            return;
        }
        final String kind = entry.text("kind").orElse("");
        final String wanted = FIELD_OF_KIND.get(kind);
        if (wanted != null && entry.field(wanted).isEmpty()) {
            log(entry.position(), MSG_TARGET_KIND, kind, wanted);
        }
    }
}
