package org.balsambank.gateway.target;

import java.util.Objects;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpResponse;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;

/**
 * Records what a target sends that is not the response to the request that waits on its connection.
 *
 * <p>Invariant: one line and one count for each fault. Each ends a connection or is one response, so there are no more
 * of them than requests and connections. Confined to the decision loop.
 */
final class ResponseFaults {
    private static final String COUNTER = "balsambank.serving.response.faults";

    private final TargetId target;
    private final DecisionLog log;
    private final MeterRegistry registry;

    /**
     * Creates the records of one target.
     *
     * @param target the target
     * @param log gets a line for each fault
     * @param registry counts the faults by kind
     */
    ResponseFaults(final TargetId target, final DecisionLog log, final MeterRegistry registry) {
        this.target = Objects.requireNonNull(target);
        this.log = Objects.requireNonNull(log);
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Records a response to another request; the response to the one that waits may follow.
     *
     * @param waiting the request that waits
     * @param head the head of the response
     */
    void passedOver(final RequestId waiting, final HttpResponse head) {
        line("response_passed_over", "passed_over")
                .with("request", waiting.value())
                .with("status", head.status().code())
                .write();
    }

    /**
     * Records bytes that can't be read as a response.
     *
     * @param waiting the request that waits; it is lost
     * @param cause why they can't be read
     */
    void malformed(final RequestId waiting, final Throwable cause) {
        line("response_malformed", "malformed")
                .with("request", waiting.value())
                .with("cause", String.valueOf(cause.getMessage()))
                .write();
    }

    /**
     * Records a response that was read as a part of the body of another.
     *
     * @param waiting the request that waits; it is lost
     */
    void swallowed(final RequestId waiting) {
        line("response_swallowed", "swallowed").with("request", waiting.value()).write();
    }

    /**
     * Records an error of this VM in an attempt, for example an address to which no connection can be opened.
     *
     * @param request the request
     * @param cause the error
     */
    void attemptFailed(final RequestId request, final Throwable cause) {
        line("attempt_failed", "attempt_failed")
                .with("request", request.value())
                .with("cause", String.valueOf(cause))
                .write();
    }

    /** Records bytes on a connection on which no request waits. */
    void unsolicited() {
        line("response_unsolicited", "unsolicited").write();
    }

    private DecisionLog.Line line(final String event, final String kind) {
        registry.counter(COUNTER, "kind", kind).increment();
        return log.line(event).with("target", target.value());
    }
}
