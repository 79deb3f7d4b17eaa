package org.balsambank.core.serving.plan;

/**
 * What a caller may send, and how long it may take or stay idle.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the size of a request's head
 * @param maxBodyBytes the size of a request's body
 * @param headerTimeoutMillis how long the head may take
 * @param idleTimeoutMillis how long a connection may be idle
 */
public record CallerBounds(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The bounds before any plan is known. */
    public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);
}
