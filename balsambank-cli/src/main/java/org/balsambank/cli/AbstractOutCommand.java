package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Base class of commands that take a resource out of service or put it back in service.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractOutCommand extends AbstractChangeCommand {
    private final ResourceKind kind;
    private final boolean out;

    @Required
    @Arguments(title = "ID", description = "The id of the resource.")
    private String id;

    /**
     * Creates a command.
     *
     * @param kind the kind of resource
     * @param out true to take the resource out, false to put it back in
     */
    protected AbstractOutCommand(final ResourceKind kind, final boolean out) {
        this.kind = kind;
        this.out = out;
    }

    @Override
    protected final JsonNode change(final BlockingHttpClient client) throws CommandException {
        return client.call(out ? HttpMethod.PUT : HttpMethod.DELETE, "/out/" + kind.path + "/" + segment(id), "");
    }

    @Override
    protected final String describe(final JsonNode response) {
        return kind.label + " " + id + " is " + (out ? "out" : "in");
    }

    /** The kinds of resources that can be taken out of service. */
    protected enum ResourceKind {
        /** A VM. */
        VM("vms", "VM"),
        /** A failure domain. */
        DOMAIN("domains", "failure domain"),
        /** A target. */
        TARGET("targets", "target");

        private final String path;
        private final String label;

        ResourceKind(final String path, final String label) {
            this.path = path;
            this.label = label;
        }
    }
}
