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
    private static final long POLL_PERIOD_MILLIS = 100;

    private RolloutWaiter() {}

    /**
     * Polls until a revision is in force on all VMs or the timeout expires.
     *
     * @param client the client of the server
     * @param revision the revision
     * @param timeout the maximum time to wait
     * @return the last status: the counts {@code inForce} and {@code vms}, and the flag {@code complete}
     * @throws CommandException if a call fails
     */
    static JsonNode await(final BlockingHttpClient client, final long revision, final Duration timeout)
            throws CommandException {
        final long deadlineNanos = System.nanoTime() + timeout.toNanos();
        JsonNode status = read(client, revision);
        while (!status.path("complete").asBoolean() && System.nanoTime() < deadlineNanos) {
            pause();
            status = read(client, revision);
        }
        return status;
    }

    private static JsonNode read(final BlockingHttpClient client, final long revision) throws CommandException {
        return client.call(HttpMethod.GET, "/catalogue/in-force?revision=" + revision, "");
    }

    private static void pause() throws CommandException {
        try {
            Thread.sleep(POLL_PERIOD_MILLIS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }
}
