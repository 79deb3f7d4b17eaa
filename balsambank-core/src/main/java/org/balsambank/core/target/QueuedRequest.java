package org.balsambank.core.target;

import java.util.Optional;

import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.id.AdapterRef;

/**
 * A request that is queued for a permit.
 *
 * <p>Confined to the decision loop. Equality is identity.
 */
final class QueuedRequest {
    private final AdmissionRequest request;
    private final SingleEmitter<TargetPermit> emitter;
    private final Optional<CrashTrial> trial;
    private final long queuedSinceNanos;
    private final boolean needsLoad;

    /**
     * Creates a queued request.
     *
     * @param request the request to run
     * @param emitter receives the permit or the rejection
     * @param trial the trial if the request is a suspect
     * @param sinceNanos the monotonic time at which the request was queued
     * @param needsLoad true if the adapter was not loaded at that time
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
        this.queuedSinceNanos = sinceNanos;
        this.needsLoad = needsLoad;
    }

    /**
     * Returns the request to run.
     *
     * @return the request
     */
    AdmissionRequest request() {
        return request;
    }

    /**
     * Returns the emitter that receives the permit or the rejection.
     *
     * @return the emitter
     */
    SingleEmitter<TargetPermit> emitter() {
        return emitter;
    }

    /**
     * Returns the trial of a suspect request.
     *
     * @return the trial; empty for a request that has crashed no target
     */
    Optional<CrashTrial> trial() {
        return trial;
    }

    /**
     * Returns when the request was queued.
     *
     * @return the monotonic time in nanoseconds
     */
    long queuedSinceNanos() {
        return queuedSinceNanos;
    }

    /**
     * Returns whether the adapter was not loaded when the request was queued.
     *
     * @return true if the request has to wait for a load
     */
    boolean needsLoad() {
        return needsLoad;
    }

    /**
     * Returns whether the request runs on an adapter.
     *
     * @param adapter the adapter version
     * @return true if it runs on exactly that version
     */
    boolean runsOn(final AdapterRef adapter) {
        return request.adapter().isPresent() && request.adapter().get().equals(adapter);
    }
}
