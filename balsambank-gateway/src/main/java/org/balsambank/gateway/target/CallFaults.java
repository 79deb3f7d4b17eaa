package org.balsambank.gateway.target;

import java.util.Objects;

import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.log.DecisionLog;

/**
 * Records what targets and the store send that is not the response to the order, report or call that waits.
 *
 * <p>Invariant: one line and one count for each fault. Each ends a connection, so there are no more of them than
 * connections. Confined to the decision loop.
 */
final class CallFaults {
    private static final String COUNTER = "balsambank.serving.response.faults";

    private final DecisionLog log;
    private final MeterRegistry registry;

    /**
     * Creates records.
     *
     * @param log gets a line for each fault
     * @param registry counts the faults by kind
     */
    CallFaults(final DecisionLog log, final MeterRegistry registry) {
        this.log = Objects.requireNonNull(log);
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Records bytes that can't be read as a response.
     *
     * @param call the call that waits; it is lost
     * @param cause why they can't be read
     */
    void malformed(final PooledHttpClient.Request call, final Throwable cause) {
        line("response_malformed", "call_malformed", call)
                .with("cause", String.valueOf(cause.getMessage()))
                .write();
    }

    /**
     * Records bytes on a connection on which no call waits.
     *
     * @param last the last call on the connection
     */
    void unsolicited(final PooledHttpClient.Request last) {
        line("response_unsolicited", "call_unsolicited", last).write();
    }

    private DecisionLog.Line line(final String event, final String kind, final PooledHttpClient.Request call) {
        registry.counter(COUNTER, "kind", kind).increment();
        return log.line(event)
                .with("address", call.host() + ":" + call.port())
                .with("call", call.method() + " " + call.path().split("\\?", 2)[0]);
    }
}
