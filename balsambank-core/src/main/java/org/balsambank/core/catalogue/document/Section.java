package org.balsambank.core.catalogue.document;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.document.DocumentNode.Kind;

import static org.balsambank.core.catalogue.document.FieldSpec.optional;
import static org.balsambank.core.catalogue.document.FieldSpec.required;

/**
 * The sections of a catalogue file, each with the fields that its entries may have.
 *
 * <p>Immutable and thread-safe.
 */
public enum Section {
    /** The root object. */
    ROOT(
            "",
            optional("teams", Kind.LIST),
            optional("adapters", Kind.LIST),
            optional("targets", Kind.LIST),
            optional("services", Kind.LIST),
            optional("domainsOut", Kind.LIST),
            optional("vmsOut", Kind.LIST)),
    /** A team. */
    TEAM(
            "teams",
            required("id", Kind.STRING),
            required("unit", Kind.STRING),
            required("rate", Kind.NUMBER),
            required("burst", Kind.NUMBER),
            optional("weight", Kind.NUMBER),
            optional("keys", Kind.LIST)),
    /** A key of a team. */
    KEY("keys", required("name", Kind.STRING), required("salt", Kind.STRING), required("hash", Kind.STRING)),
    /** An adapter. */
    ADAPTER(
            "adapters",
            required("id", Kind.STRING),
            required("versions", Kind.LIST),
            required("owner", Kind.STRING),
            optional("callers", Kind.LIST),
            optional("class", Kind.STRING),
            required("baseModel", Kind.STRING),
            optional("open", Kind.BOOLEAN)),
    /** A target. */
    TARGET(
            "targets",
            required("id", Kind.STRING),
            required("kind", Kind.STRING),
            required("host", Kind.STRING),
            required("port", Kind.NUMBER),
            required("failureDomain", Kind.STRING),
            optional("baseModel", Kind.STRING),
            optional("service", Kind.STRING),
            required("concurrency", Kind.NUMBER),
            optional("adapterSlots", Kind.NUMBER),
            optional("fencing", Kind.BOOLEAN),
            optional("out", Kind.BOOLEAN)),
    /** A plain service. */
    SERVICE(
            "services",
            required("name", Kind.STRING),
            required("owner", Kind.STRING),
            optional("callers", Kind.LIST),
            optional("class", Kind.STRING),
            optional("routes", Kind.LIST)),
    /** A route of a plain service. */
    ROUTE(
            "routes",
            required("method", Kind.STRING),
            required("path", Kind.STRING),
            optional("idempotent", Kind.BOOLEAN),
            optional("open", Kind.BOOLEAN));

    private final String listName;
    private final List<FieldSpec> fields;

    Section(final String listName, final FieldSpec... fields) {
        this.listName = listName;
        this.fields = List.of(fields);
    }

    /**
     * Returns the name of the list that contains the entries.
     *
     * @return the name of the list field, empty for the root object
     */
    public String listName() {
        return listName;
    }

    /**
     * Returns the specifications of the fields that an entry may have.
     *
     * @return the specifications, in declaration order
     */
    public List<FieldSpec> fields() {
        return fields;
    }

    /**
     * Returns the specification of a field.
     *
     * @param name the name of the field
     * @return the specification, or empty if the field is unknown
     */
    public Optional<FieldSpec> field(final String name) {
        return fields.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /**
     * Returns the section whose entries are in a list.
     *
     * @param listName the name of the list
     * @return the section, or empty if the items of the list are not objects
     */
    public static Optional<Section> ofList(final String listName) {
        return Arrays.stream(values())
                .filter(section -> section != ROOT && section.listName.equals(listName))
                .findFirst();
    }
}
