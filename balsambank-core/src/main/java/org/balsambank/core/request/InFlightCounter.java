package org.balsambank.core.request;

import java.util.List;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;

/**
 * Counts the in-flight requests on this VM, so that a graceful shutdown can wait for them.
 *
 * <p>Invariant: after {@link #stop} no request enters. Confined to the decision loop, except for the gauge, which reads
 * the count from any thread.
 */
public final class InFlightCounter {
    private static final String GAUGE = "balsambank.requests.in.flight";

    private final CompletableSubject drained = CompletableSubject.create();
    private volatile int count;
    private boolean stopping;

    /**
     * Creates a counter at zero.
     *
     * @param registry the registry for the gauge
     * @param role the value of the gauge's role tag
     */
    public InFlightCounter(final MeterRegistry registry, final String role) {
        registry.gauge(GAUGE, List.of(Tag.of("role", role)), this, in -> in.count);
    }

    /**
     * Counts a request that starts.
     *
     * @throws BalsambankException of kind {@code STOPPING} after {@link #stop} was called
     */
    public void enter() throws BalsambankException {
        if (stopping) {
            throw new BalsambankException(ErrorKind.STOPPING, "this VM is stopping");
        }
        count = count + 1;
    }

    /** Counts a request that ended. */
    public void leave() {
        count = count - 1;
        completeIfDrained();
    }

    /**
     * Returns the number of in-flight requests.
     *
     * @return the number of requests
     */
    public int count() {
        return count;
    }

    /**
     * Rejects new requests from now on.
     *
     * @return completes when all in-flight requests have ended
     */
    public Completable stop() {
        stopping = true;
        completeIfDrained();
        return drained;
    }

    private void completeIfDrained() {
        if (stopping && count == 0) {
            drained.onComplete();
        }
    }
}
