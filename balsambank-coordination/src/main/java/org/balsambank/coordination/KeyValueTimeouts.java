package org.balsambank.coordination;

import java.time.Duration;

/**
 * The timeouts of calls to the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param call the response timeout
 * @param watch the maximum time that the service holds a watch request without changes
 */
public record KeyValueTimeouts(Duration call, Duration watch) {
    /** The default timeouts. */
    public static final KeyValueTimeouts DEFAULT = new KeyValueTimeouts(Duration.ofMillis(1500), Duration.ofSeconds(5));
}
