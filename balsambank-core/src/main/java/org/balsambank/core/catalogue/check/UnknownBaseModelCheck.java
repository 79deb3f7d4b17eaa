package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that the base model of each adapter is run by at least one target.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class UnknownBaseModelCheck extends AbstractCheck {
    /** The message key. */
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
                .ifPresent(model -> addViolation(model.position(), MSG_UNKNOWN_BASE_MODEL, model.text()));
    }
}
