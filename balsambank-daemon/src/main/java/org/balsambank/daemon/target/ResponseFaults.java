package org.balsambank.daemon.target;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.vertx.core.VertxException;

/**
 * Counts what targets send that is not the response to the call that waits.
 *
 * <p>Invariant: at most one count for each connection. Confined to the decision loop.
 */
final class ResponseFaults {
    private static final String COUNTER = "balsambank.target.response.faults";

    /** What was received instead of the response. */
    enum Kind {
        /** A response that names another request. */
        OTHER_REQUEST,
        /** A head that holds the status line of another response. */
        JOINED_HEAD,
        /** Bytes that can't be read as a response. */
        MALFORMED
    }

    private final Map<Kind, Counter> counters = new EnumMap<>(Kind.class);

    /**
     * Creates the counters.
     *
     * @param registry the meter registry
     */
    ResponseFaults(final MeterRegistry registry) {
        for (final Kind kind : Kind.values()) {
            counters.put(kind, registry.counter(COUNTER, "kind", kind.name().toLowerCase(Locale.ROOT)));
        }
    }

    /**
     * Counts a fault.
     *
     * @param kind what was received
     */
    void count(final Kind kind) {
        counters.get(kind).increment();
    }

    /**
     * Counts a failed exchange if bytes that can't be read are the cause, and not the end of the connection.
     *
     * @param error the failure of the HTTP client
     */
    void countIfMalformed(final Throwable error) {
        if (!connectionEnded(error)) {
            count(Kind.MALFORMED);
        }
    }

    private static boolean connectionEnded(final Throwable error) {
        return error instanceof IOException
                || error instanceof VertxException
                || error instanceof PrematureChannelClosureException;
    }
}
