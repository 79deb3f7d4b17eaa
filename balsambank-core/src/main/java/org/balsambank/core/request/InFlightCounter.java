package org.balsambank.core.request;

import java.util.List;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;

/**
 * Counts the requests that run on this VM and lets a planned stop wait for them.
 *
 * <p>Invariant: after {@link #stop} no request enters. Confined to the decision loop, but for the gauge.
 */
public final class InFlightCounter {
    private static final String GAUGE = "balsambank.requests.in.flight";

    private final CompletableSubject drained = CompletableSubject.create();
    private volatile int count;
    private boolean stopping;

    /**
     * Creates a counter at zero.
     *
     * @param registry gets the gauge
     * @param role the name of the part that counts, for the gauge
     */
    public InFlightCounter(final MeterRegistry registry, final String role) {
        registry.gauge(GAUGE, List.of(Tag.of("role", role)), this, in -> in.count);
    }

    /**
     * Counts a request that starts.
     *
     * @throws BalsambankException of kind {@code STOPPING} if this VM takes no new requests
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
     * Returns how many requests run.
     *
     * @return the number
     */
    public int count() {
        return count;
    }

    /**
     * Refuses new requests from now on.
     *
     * @return completes when all requests have ended
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
