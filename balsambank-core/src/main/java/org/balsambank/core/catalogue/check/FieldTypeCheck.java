package org.balsambank.core.catalogue.check;

import java.util.Locale;
import java.util.Optional;

import org.balsambank.core.catalogue.document.FieldSpec;
import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;
import org.balsambank.core.document.DocumentNode.Kind;

/**
 * Checks that the value of each field and each item of a list is of the right kind.
 *
 * <p>Used for one file by one thread.
 */
final class FieldTypeCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_FIELD_TYPE = "field.type";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            final Optional<FieldSpec> rule = section.field(field.name());
            rule.ifPresent(known -> visitField(field, known.kind()));
        }
    }

    private void visitField(final Field field, final Kind wanted) {
        requireKind(field.value(), field.name(), wanted);
        final Kind item = Section.ofList(field.name()).isPresent() ? Kind.OBJECT : Kind.STRING;
        field.value().items().forEach(value -> requireKind(value, field.name(), item));
    }

    private void requireKind(final DocumentNode value, final String name, final Kind wanted) {
        if (value.kind() != wanted) {
            log(value.position(), MSG_FIELD_TYPE, name, lower(wanted), lower(value.kind()));
        }
    }

    private static String lower(final Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
