package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that some target runs the base model of each adapter.
 *
 * <p>Used for one file by one thread.
 */
final class UnknownBaseModelCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_UNKNOWN_BASE_MODEL = "model.unknown";

    private Set<String> models = Set.of();

    @Override
    void beginDocument(final DocumentNode root) {
        models = FieldValues.of(root, Section.TARGET.listName(), "baseModel");
    }

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section != Section.ADAPTER) {
            return;
        }
        entry.field("baseModel")
                .filter(model -> !models.contains(model.text()))
                .ifPresent(model -> log(model.position(), MSG_UNKNOWN_BASE_MODEL, model.text()));
    }
}
