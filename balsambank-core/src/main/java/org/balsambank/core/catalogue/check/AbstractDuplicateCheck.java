package org.balsambank.core.catalogue.check;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.Position;

/**
 * A rule that an id stands once in its section.
 *
 * <p>Used for one file by one thread.
 */
abstract class AbstractDuplicateCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_DUPLICATE = "duplicate";

    private final Section section;
    private final String idField;
    private final Map<String, Position> places = new HashMap<>();

    /**
     * Creates a rule.
     *
     * @param section the kind of entry
     * @param idField the field that holds the id
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
        final Position first = places.putIfAbsent(id.text(), id.position());
        if (first != null) {
            log(id.position(), MSG_DUPLICATE, id.text(), section.listName(), String.valueOf(first.line()));
        }
    }
}
