package org.balsambank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Creates a new key for a team.
 *
 * <p>Confined to one thread. The key is printed once and never stored.
 */
@Command(name = "give", description = "Creates a new key for a team and prints it. The key is not stored.")
public final class KeyGiveCommand extends AbstractChangeCommand {
    private static final int ARGUMENTS = 2;

    @Required
    @Arguments(
            title = {"TEAM", "NAME"},
            description = "The team, and a name that identifies the key for withdrawal.")
    private List<String> arguments;

    @Override
    protected JsonNode change(final BlockingHttpClient client) throws CommandException {
        if (arguments.size() != ARGUMENTS) {
            throw new CommandException(ExitCode.INVALID, "TEAM and NAME are required");
        }
        return client.call(HttpMethod.POST, "/keys/" + segment(arguments.get(0)) + "/" + segment(arguments.get(1)), "");
    }

    @Override
    protected String describe(final JsonNode response) {
        return "key " + response.path("key").asText();
    }
}
