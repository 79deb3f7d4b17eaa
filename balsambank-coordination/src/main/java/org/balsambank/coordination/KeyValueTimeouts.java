package org.balsambank.coordination;

import java.time.Duration;

/**
 * The time limits for calls of the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param call how long to wait for an answer
 * @param watch how long the service is to hold a watch that has nothing to tell
 */
public record KeyValueTimeouts(Duration call, Duration watch) {
    /** The limits used unless the settings say otherwise. */
    public static final KeyValueTimeouts DEFAULT = new KeyValueTimeouts(Duration.ofMillis(1500), Duration.ofSeconds(5));
}
