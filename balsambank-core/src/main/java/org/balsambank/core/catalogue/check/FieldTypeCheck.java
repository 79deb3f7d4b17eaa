package org.balsambank.core.catalogue.check;

import java.util.Locale;
import java.util.Optional;

import org.balsambank.core.catalogue.document.FieldSpec;
import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Field;
import org.balsambank.core.document.DocumentNode.Kind;

/**
 * Checks that the value of each known field, and each item of a list, has the kind that the section specifies.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class FieldTypeCheck extends AbstractCheck {
    /** The key of the message for a value of the wrong kind. */
    static final String MSG_FIELD_TYPE = "field.type";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        for (final Field field : entry.fields()) {
            final Optional<FieldSpec> known = section.field(field.name());
            known.ifPresent(spec -> visitField(field, spec.kind()));
        }
    }

    private void visitField(final Field field, final Kind expected) {
        requireKind(field.value(), field.name(), expected);
        final Kind itemKind = Section.ofList(field.name()).isPresent() ? Kind.OBJECT : Kind.STRING;
        field.value().items().forEach(value -> requireKind(value, field.name(), itemKind));
    }

    private void requireKind(final DocumentNode value, final String name, final Kind expected) {
        if (value.kind() != expected) {
            addViolation(value.position(), MSG_FIELD_TYPE, name, lower(expected), lower(value.kind()));
        }
    }

    private static String lower(final Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
