package org.balsambank.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * The metrics of the peer links.
 *
 * <p>Thread-safe.
 */
final class PeerMetrics {
    private final Counter lateFrames;
    private final Counter refusedLinks;
    private final Counter brokenFrames;
    private final Counter silentLinks;
    private final Counter pings;
    private final Counter bytesSent;

    /**
     * Registers the counters.
     *
     * @param registry the meter registry
     */
    PeerMetrics(final MeterRegistry registry) {
        lateFrames = registry.counter("balsambank.peer.frames.late");
        refusedLinks = registry.counter("balsambank.peer.links.refused");
        brokenFrames = registry.counter("balsambank.peer.frames.broken");
        silentLinks = registry.counter("balsambank.peer.links.silent");
        pings = registry.counter("balsambank.peer.pings");
        bytesSent = registry.counter("balsambank.peer.bytes.sent");
    }

    /** Counts a frame that arrived after the end of its call or link. */
    void lateFrame() {
        lateFrames.increment();
    }

    /** Counts an inbound link that was closed for an invalid hello or a protocol error. */
    void refusedLink() {
        refusedLinks.increment();
    }

    /** Counts an undecodable or unexpected frame. */
    void brokenFrame() {
        brokenFrames.increment();
    }

    /** Counts a link that was closed by the silence timeout. */
    void silentLink() {
        silentLinks.increment();
    }

    /** Counts a ping sent on a quiet link. */
    void ping() {
        pings.increment();
    }

    /**
     * Counts sent bytes.
     *
     * @param bytes the number of bytes
     */
    void sent(final int bytes) {
        bytesSent.increment(bytes);
    }
}
