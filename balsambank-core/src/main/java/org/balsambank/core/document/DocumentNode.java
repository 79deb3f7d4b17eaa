package org.balsambank.core.document;

import java.util.List;
import java.util.Optional;

/**
 * A value of a document with its place.
 *
 * <p>Immutable and thread-safe. Only objects have fields, only lists have items.
 *
 * @param kind the kind of value
 * @param text the text of a string, number or truth value, else empty
 * @param position where the value begins
 * @param fields the fields of an object in their order, repeated ones included
 * @param items the items of a list
 */
public record DocumentNode(Kind kind, String text, Position position, List<Field> fields, List<DocumentNode> items) {
    /** Takes copies of the lists. */
    public DocumentNode {
        fields = List.copyOf(fields);
        items = List.copyOf(items);
    }

    /**
     * Finds a field of an object.
     *
     * @param name the name of the field
     * @return the value of the first field with the name
     */
    public Optional<DocumentNode> field(final String name) {
        return fields.stream()
                .filter(field -> field.name().equals(name))
                .map(Field::value)
                .findFirst();
    }

    /**
     * Finds a field of an object that holds a plain value.
     *
     * @param name the name of the field
     * @return the text of the first field with the name
     */
    public Optional<String> text(final String name) {
        return field(name).map(DocumentNode::text);
    }

    /**
     * Finds the items of a field that holds a list.
     *
     * @param name the name of the field
     * @return the items, none if there is no such field
     */
    public List<DocumentNode> items(final String name) {
        return field(name).map(DocumentNode::items).orElse(List.of());
    }

    /** The kinds of values. */
    public enum Kind {
        /** An object with fields. */
        OBJECT,
        /** A list of values. */
        LIST,
        /** A text. */
        STRING,
        /** A number. */
        NUMBER,
        /** True or false. */
        BOOLEAN,
        /** No value. */
        NULL
    }

    /**
     * A field of an object.
     *
     * @param name the name
     * @param position where the name begins
     * @param value the value
     */
    public record Field(String name, Position position, DocumentNode value) {}
}
