package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Shows the changes that applying a catalogue file would make.
 *
 * <p>Confined to one thread.
 */
@Command(name = "diff", description = "Shows which entries a catalogue file would add, change and remove.")
public final class DiffCommand extends AbstractServerCommand {
    @Required
    @Arguments(title = "FILE", description = "The catalogue file.")
    private String file;

    @Override
    protected ExitCode execute(final BlockingHttpClient client) throws CommandException {
        final String text = InputFiles.read(file);
        CheckCommand.check(text, file);
        final JsonNode response = client.call(HttpMethod.POST, "/catalogue/diff", text);
        if (json()) {
            print(response.toString());
            return ExitCode.OK;
        }
        response.path("changes").forEach(change -> print(change.asText()));
        print(response.path("changes").size() + " changes against revision "
                + response.path("revision").asLong());
        return ExitCode.OK;
    }
}
