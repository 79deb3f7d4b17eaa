package org.balsambank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Gives a team a new key.
 *
 * <p>Confined to one thread. The key is printed once and kept nowhere.
 */
@Command(name = "give", description = "Gives a team a new key and prints it. The key is kept nowhere.")
public final class KeyGiveCommand extends AbstractChangeCommand {
    private static final int ARGUMENTS = 2;

    @Required
    @Arguments(
            title = {"TEAM", "NAME"},
            description = "The team, and the name by which the key is withdrawn.")
    private List<String> arguments;

    @Override
    protected JsonNode change(final BlockingHttpClient client) throws CommandException {
        if (arguments.size() != ARGUMENTS) {
            throw new CommandException(ExitCode.INVALID, "TEAM and NAME are needed");
        }
        return client.call(HttpMethod.POST, "/keys/" + segment(arguments.get(0)) + "/" + segment(arguments.get(1)), "");
    }

    @Override
    protected String describe(final JsonNode answer) {
        return "key " + answer.path("key").asText();
    }
}
