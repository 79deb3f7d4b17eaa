package org.balsambank.core.catalogue.check;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.Position;

/**
 * Base class of checks that no id occurs twice in a section.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
abstract class AbstractDuplicateCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_DUPLICATE = "duplicate";

    private final Section section;
    private final String idField;
    private final Map<String, Position> firstOccurrences = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param section the section to check
     * @param idField the field that contains the id
     */
    AbstractDuplicateCheck(final Section section, final String idField) {
        this.section = section;
        this.idField = idField;
    }

    @Override
    final void visitEntry(final Section kind, final DocumentNode entry) {
        if (kind == section) {
            entry.field(idField).ifPresent(this::visitId);
        }
    }

    private void visitId(final DocumentNode id) {
        final Position first = firstOccurrences.putIfAbsent(id.text(), id.position());
        if (first != null) {
            addViolation(id.position(), MSG_DUPLICATE, id.text(), section.listName(), String.valueOf(first.line()));
        }
    }
}
