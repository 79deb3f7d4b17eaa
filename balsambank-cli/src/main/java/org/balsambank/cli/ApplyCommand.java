package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Applies a catalogue file.
 *
 * <p>Confined to one thread.
 */
@Command(name = "apply", description = "Checks a catalogue file, applies it and waits until it is in force on all VMs.")
public final class ApplyCommand extends AbstractChangeCommand {
    @Required
    @Arguments(title = "FILE", description = "The catalogue file.")
    private String file;

    @Option(
            type = OptionType.COMMAND,
            name = {"--expect"},
            title = "REVISION",
            description =
                    "The revision that the change is based on. Fails with a conflict if another revision is in force."
                            + " Default: the revision in force.")
    private long expectedRevision = -1;

    @Override
    protected JsonNode change(final BlockingHttpClient client) throws CommandException {
        final String text = InputFiles.read(file);
        CheckCommand.check(text, file);
        final String query = expectedRevision < 0 ? "" : "?expect=" + expectedRevision;
        return client.call(HttpMethod.POST, "/catalogue" + query, text);
    }

    @Override
    protected String describe(final JsonNode response) {
        return "applied " + file + ": " + response.path("changes").size() + " changed entries";
    }
}
