package org.balsambank.peer;

import java.time.Duration;
import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * The settings of the peer links.
 *
 * <p>Immutable and thread-safe. All VMs of a fleet share the token.
 *
 * @param fleetToken the shared secret; a connection without it is refused
 * @param maxFrameBytes the maximum size of a sent or received frame, in bytes
 * @param windowItems the maximum number of items of one response buffered at the caller
 * @param maxCalls the maximum number of calls in flight per link
 * @param connectTimeout the time limit for the connection and the handshake
 * @param heartbeat how long a link with calls may be quiet before it is pinged
 * @param silence how long a link with calls may be quiet before it is closed
 * @param idle how long a link without calls stays open before it is closed
 */
public record PeerSettings(
        ByteString fleetToken,
        int maxFrameBytes,
        int windowItems,
        int maxCalls,
        Duration connectTimeout,
        Duration heartbeat,
        Duration silence,
        Duration idle) {
    private static final int DEFAULT_MAX_FRAME_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_WINDOW_ITEMS = 64;
    private static final int DEFAULT_MAX_CALLS = 10_000;
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(500);
    private static final Duration DEFAULT_SILENCE = Duration.ofSeconds(2);
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(30);

    /** Checks that the token is not empty. */
    public PeerSettings {
        Objects.requireNonNull(fleetToken);
        if (fleetToken.isEmpty()) {
            throw new IllegalArgumentException("the fleet token is empty");
        }
    }

    /**
     * Creates settings with the default limits.
     *
     * @param fleetToken the shared secret
     * @return the settings
     */
    public static PeerSettings withToken(final ByteString fleetToken) {
        return new PeerSettings(
                fleetToken,
                DEFAULT_MAX_FRAME_BYTES,
                DEFAULT_WINDOW_ITEMS,
                DEFAULT_MAX_CALLS,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_HEARTBEAT,
                DEFAULT_SILENCE,
                DEFAULT_IDLE);
    }
}
