package org.balsambank.core.serving.plan;

/**
 * Size and time limits for the connections of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis how long receiving the head may take
 * @param idleTimeoutMillis how long a connection may be idle
 */
public record CallerBounds(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until a plan is known. */
    public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);
}
