package org.balsambank.daemon.target;

import java.time.Duration;

/**
 * The time limits of calls to targets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connect the limit for opening a connection
 * @param streamSilence the maximum gap before the first and between two chunks of a streamed response
 * @param responseSilence the maximum gap before the first and between two chunks of any other response
 * @param report the limit for reading a report
 * @param command the limit for executing a load or evict command
 */
public record TargetTimeouts(
        Duration connect, Duration streamSilence, Duration responseSilence, Duration report, Duration command) {
    /** The time limits that the daemon uses. */
    public static final TargetTimeouts DEFAULT = new TargetTimeouts(
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(30),
            Duration.ofSeconds(2),
            Duration.ofSeconds(30));
}
