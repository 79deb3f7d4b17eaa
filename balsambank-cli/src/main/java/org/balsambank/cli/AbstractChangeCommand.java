package org.balsambank.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * Base class of commands that change the catalogue and wait until the change is in force on all VMs.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractChangeCommand extends AbstractServerCommand {
    private static final int DEFAULT_WAIT_SECONDS = 12;

    @Option(
            type = OptionType.COMMAND,
            name = {"--wait"},
            title = "SECONDS",
            description = "Maximum time to wait until the change is in force on all VMs. Default: 12.")
    private int waitSeconds = DEFAULT_WAIT_SECONDS;

    /**
     * Sends the change to the server.
     *
     * @param client the client of the server
     * @return the response, with the new {@code revision}
     * @throws CommandException if the call fails or the server rejects the change
     */
    protected abstract JsonNode change(BlockingHttpClient client) throws CommandException;

    /**
     * Describes the applied change in one line.
     *
     * @param response the response of the server
     * @return the line
     */
    protected abstract String describe(JsonNode response);

    @Override
    protected final ExitCode execute(final BlockingHttpClient client) throws CommandException {
        final long startNanos = System.nanoTime();
        final JsonNode response = change(client);
        final long revision = response.path("revision").asLong();
        final JsonNode status = RolloutWaiter.await(client, revision, Duration.ofSeconds(waitSeconds));
        final long millis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        if (json()) {
            print("{\"change\":" + response + ",\"inForce\":" + status + ",\"millis\":" + millis + "}");
        } else {
            print(describe(response));
            print("revision " + revision + " in force on "
                    + status.path("inForce").asInt() + " of "
                    + status.path("vms").asInt() + " VMs after " + millis
                    + " ms");
        }
        return status.path("complete").asBoolean() ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
    }
}
