package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * The base of commands that take something out of service or back in.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractOutCommand extends AbstractChangeCommand {
    private final ResourceKind subject;
    private final boolean out;

    @Required
    @Arguments(title = "ID", description = "What is taken out or in.")
    private String id;

    /**
     * Creates a command.
     *
     * @param subject what kind of thing is taken
     * @param out true for out, false for in
     */
    protected AbstractOutCommand(final ResourceKind subject, final boolean out) {
        this.subject = subject;
        this.out = out;
    }

    @Override
    protected final JsonNode change(final BlockingHttpClient client) throws CommandException {
        return client.call(out ? HttpMethod.PUT : HttpMethod.DELETE, "/out/" + subject.path + "/" + segment(id), "");
    }

    @Override
    protected final String describe(final JsonNode answer) {
        return subject.text + " " + id + " is " + (out ? "out" : "in");
    }

    /** What can be taken out of service. */
    protected enum ResourceKind {
        /** A VM. */
        VM("vms", "VM"),
        /** A failure domain. */
        DOMAIN("domains", "failure domain"),
        /** A target. */
        TARGET("targets", "target");

        private final String path;
        private final String text;

        ResourceKind(final String path, final String text) {
            this.path = path;
            this.text = text;
        }
    }
}
