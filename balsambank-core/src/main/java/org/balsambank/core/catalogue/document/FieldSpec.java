package org.balsambank.core.catalogue.document;

import org.balsambank.core.document.DocumentNode.Kind;

/**
 * A field that an entry may have.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param kind the kind of its value
 * @param required true if each entry has the field
 */
public record FieldSpec(String name, Kind kind, boolean required) {
    /**
     * Creates the rule of a field that each entry has.
     *
     * @param name the name
     * @param kind the kind of its value
     * @return the rule
     */
    static FieldSpec required(final String name, final Kind kind) {
        return new FieldSpec(name, kind, true);
    }

    /**
     * Creates the rule of a field that may be left out.
     *
     * @param name the name
     * @param kind the kind of its value
     * @return the rule
     */
    static FieldSpec optional(final String name, final Kind kind) {
        return new FieldSpec(name, kind, false);
    }
}
