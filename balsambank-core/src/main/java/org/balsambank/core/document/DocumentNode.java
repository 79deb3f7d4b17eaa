package org.balsambank.core.document;

import java.util.List;
import java.util.Optional;

/**
 * A JSON value with its position in the document.
 *
 * <p>Immutable and thread-safe. Only objects have fields, and only lists have items.
 *
 * @param kind the kind of value
 * @param text the text of a string, number or boolean, {@code null} for the null literal, empty for objects and lists
 * @param position the position of the first character
 * @param fields the fields of an object in document order, duplicates included
 * @param items the items of a list
 */
public record DocumentNode(Kind kind, String text, Position position, List<Field> fields, List<DocumentNode> items) {
    /** Copies the lists. */
    public DocumentNode {
        fields = List.copyOf(fields);
        items = List.copyOf(items);
    }

    /**
     * Returns the value of a field.
     *
     * @param name the name of the field
     * @return the value of the first field with this name, or empty if there is none
     */
    public Optional<DocumentNode> field(final String name) {
        return fields.stream()
                .filter(field -> field.name().equals(name))
                .map(Field::value)
                .findFirst();
    }

    /**
     * Returns the text of a scalar field.
     *
     * @param name the name of the field
     * @return the text of the first field with this name, or empty if there is none
     */
    public Optional<String> text(final String name) {
        return field(name).map(DocumentNode::text);
    }

    /**
     * Returns the items of a list field.
     *
     * @param name the name of the field
     * @return the items, empty if there is no such field
     */
    public List<DocumentNode> items(final String name) {
        return field(name).map(DocumentNode::items).orElse(List.of());
    }

    /** The kind of a JSON value. */
    public enum Kind {
        /** An object with fields. */
        OBJECT,
        /** A list of values. */
        LIST,
        /** A string. */
        STRING,
        /** A number. */
        NUMBER,
        /** The literal {@code true} or {@code false}. */
        BOOLEAN,
        /** The literal {@code null}. */
        NULL
    }

    /**
     * A field of an object.
     *
     * @param name the field name
     * @param position the position of the field name
     * @param value the field value
     */
    public record Field(String name, Position position, DocumentNode value) {}
}
