package org.balsambank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;

/**
 * Withdraws a key of a team.
 *
 * <p>Confined to one thread.
 */
@Command(name = "withdraw", description = "Withdraws a key of a team.")
public final class KeyWithdrawCommand extends AbstractChangeCommand {
    private static final int ARGUMENTS = 2;

    @Required
    @Arguments(
            title = {"TEAM", "NAME"},
            description = "The team and the name of the key.")
    private List<String> arguments;

    @Override
    protected JsonNode change(final BlockingHttpClient client) throws CommandException {
        if (arguments.size() != ARGUMENTS) {
            throw new CommandException(ExitCode.INVALID, "TEAM and NAME are required");
        }
        return client.call(
                HttpMethod.DELETE, "/keys/" + segment(arguments.get(0)) + "/" + segment(arguments.get(1)), "");
    }

    @Override
    protected String describe(final JsonNode response) {
        return "key " + arguments.get(1) + " of team " + arguments.get(0) + " is withdrawn";
    }
}
