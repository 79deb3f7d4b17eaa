package org.balsambank.core.catalogue.document;

import org.balsambank.core.document.DocumentNode.Kind;

/**
 * The specification of a field of an entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the field name
 * @param kind the kind of the value
 * @param required true if every entry must have the field
 */
public record FieldSpec(String name, Kind kind, boolean required) {
    /**
     * Creates the specification of a required field.
     *
     * @param name the field name
     * @param kind the kind of the value
     * @return the specification
     */
    static FieldSpec required(final String name, final Kind kind) {
        return new FieldSpec(name, kind, true);
    }

    /**
     * Creates the specification of an optional field.
     *
     * @param name the field name
     * @param kind the kind of the value
     * @return the specification
     */
    static FieldSpec optional(final String name, final Kind kind) {
        return new FieldSpec(name, kind, false);
    }
}
