package org.balsambank.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;

/**
 * Waits until a revision of the catalogue is in force on all VMs.
 *
 * <p>Stateless and thread-safe.
 */
final class RolloutWaiter {
    private static final long PERIOD_MILLIS = 100;

    private RolloutWaiter() {}

    /**
     * Waits until a revision is in force everywhere or the time is over.
     *
     * @param client calls the server
     * @param revision the revision
     * @param limit how long to wait
     * @return the last count: {@code inForce} of {@code vms}, and {@code complete}
     * @throws CommandException if the server fails
     */
    static JsonNode await(final BlockingHttpClient client, final long revision, final Duration limit)
            throws CommandException {
        final long end = System.nanoTime() + limit.toNanos();
        JsonNode count = read(client, revision);
        while (!count.path("complete").asBoolean() && System.nanoTime() < end) {
            pause();
            count = read(client, revision);
        }
        return count;
    }

    private static JsonNode read(final BlockingHttpClient client, final long revision) throws CommandException {
        return client.call(HttpMethod.GET, "/catalogue/in-force?revision=" + revision, "");
    }

    private static void pause() throws CommandException {
        try {
            Thread.sleep(PERIOD_MILLIS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }
}
