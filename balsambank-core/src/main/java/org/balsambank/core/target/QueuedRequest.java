package org.balsambank.core.target;

import java.util.Optional;

import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.id.AdapterRef;

/**
 * A request that waits for a permit.
 *
 * <p>Confined to the decision loop. Two waiters are equal only if they are the same.
 */
final class QueuedRequest {
    private final AdmissionRequest request;
    private final SingleEmitter<TargetPermit> emitter;
    private final Optional<CrashTrial> trial;
    private final long sinceNanos;
    private final boolean needsLoad;

    /**
     * Creates a waiter.
     *
     * @param request what is to run
     * @param emitter gets the permit
     * @param trial the trial of a suspect
     * @param sinceNanos when it came
     * @param needsLoad true if its adapter was not loaded when it came
     */
    QueuedRequest(
            final AdmissionRequest request,
            final SingleEmitter<TargetPermit> emitter,
            final Optional<CrashTrial> trial,
            final long sinceNanos,
            final boolean needsLoad) {
        this.request = request;
        this.emitter = emitter;
        this.trial = trial;
        this.sinceNanos = sinceNanos;
        this.needsLoad = needsLoad;
    }

    /**
     * Returns what is to run.
     *
     * @return the request
     */
    AdmissionRequest request() {
        return request;
    }

    /**
     * Returns who gets the permit.
     *
     * @return the emitter
     */
    SingleEmitter<TargetPermit> emitter() {
        return emitter;
    }

    /**
     * Returns the trial of a suspect.
     *
     * @return the trial, empty for a request that has cost no target
     */
    Optional<CrashTrial> trial() {
        return trial;
    }

    /**
     * Returns when the request came.
     *
     * @return the monotonic time in nanoseconds
     */
    long sinceNanos() {
        return sinceNanos;
    }

    /**
     * Tells whether the adapter was not loaded when the request came.
     *
     * @return true if the request had to wait for a load
     */
    boolean needsLoad() {
        return needsLoad;
    }

    /**
     * Tells whether the request waits for an adapter.
     *
     * @param adapter the version
     * @return true if it runs on that version
     */
    boolean runsOn(final AdapterRef adapter) {
        return request.adapter().isPresent() && request.adapter().get().equals(adapter);
    }
}
