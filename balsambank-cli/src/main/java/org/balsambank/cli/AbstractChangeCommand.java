package org.balsambank.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * The base of commands that change the catalogue and wait until the change is in force everywhere.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractChangeCommand extends AbstractServerCommand {
    private static final int DEFAULT_WAIT_SECONDS = 12;

    @Option(
            type = OptionType.COMMAND,
            name = {"--wait"},
            title = "SECONDS",
            description = "How long to wait until the change is in force on all VMs. Default: 12.")
    private int waitSeconds = DEFAULT_WAIT_SECONDS;

    /**
     * Makes the change.
     *
     * @param client calls the server
     * @return the answer, with the new {@code revision}
     * @throws CommandException if the change is refused
     */
    protected abstract JsonNode change(BlockingHttpClient client) throws CommandException;

    /**
     * Describes the change in one line.
     *
     * @param answer the answer of the server
     * @return the line
     */
    protected abstract String describe(JsonNode answer);

    @Override
    protected final ExitCode execute(final BlockingHttpClient client) throws CommandException {
        final long start = System.nanoTime();
        final JsonNode answer = change(client);
        final long revision = answer.path("revision").asLong();
        final JsonNode count = RolloutWaiter.await(client, revision, Duration.ofSeconds(waitSeconds));
        final long millis = Duration.ofNanos(System.nanoTime() - start).toMillis();
        if (json()) {
            print("{\"change\":" + answer + ",\"inForce\":" + count + ",\"millis\":" + millis + "}");
        } else {
            print(describe(answer));
            print("revision " + revision + " in force on "
                    + count.path("inForce").asInt() + " of " + count.path("vms").asInt() + " VMs after " + millis
                    + " ms");
        }
        return count.path("complete").asBoolean() ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
    }
}
