package org.balsambank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.http.HttpMethod;

/**
 * Prints the state of the fleet as seen by one VM.
 *
 * <p>Confined to one thread.
 */
@Command(name = "status", description = "Prints the state of the fleet as seen by one VM.")
public final class StatusCommand extends AbstractServerCommand {
    @Override
    protected ExitCode execute(final BlockingHttpClient client) throws CommandException {
        final JsonNode status = client.call(HttpMethod.GET, "/status", "");
        print(json() ? status.toString() : status.toPrettyString());
        return ExitCode.OK;
    }
}
