package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Shows what a catalogue file would change.
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
        final JsonNode answer = client.call(HttpMethod.POST, "/catalogue/diff", text);
        if (json()) {
            print(answer.toString());
            return ExitCode.OK;
        }
        answer.path("changes").forEach(change -> print(change.asText()));
        print(answer.path("changes").size() + " changes against revision "
                + answer.path("revision").asLong());
        return ExitCode.OK;
    }
}
