package org.balsambank.core.request;

import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.Executed;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;

/**
 * The state machine of one request on one VM.
 *
 * <p>Invariants: a request ends exactly once; it ends with an error that means "not run" only if no byte of any attempt
 * can have reached a target; no attempt is sent after the end. Confined to the decision loop.
 */
public final class RequestState {
    private final RequestId id;
    private final InvariantMonitor invariants;
    private RequestPhase phase = RequestPhase.RECEIVED;
    private RequestPhase phaseBeforeSend = RequestPhase.RECEIVED;
    private BalsambankException firstPossiblyRunError;
    private boolean endedNotRun;

    /**
     * Creates the state of a request that has just been received.
     *
     * @param id the request id
     * @param invariants records violated invariants
     */
    public RequestState(final RequestId id, final InvariantMonitor invariants) {
        this.id = Objects.requireNonNull(id);
        this.invariants = Objects.requireNonNull(invariants);
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public RequestPhase phase() {
        return phase;
    }

    /** Records that the request was admitted. */
    public void admitted() {
        advance(RequestPhase.ADMITTED);
    }

    /** Records that the idempotency record is stored. */
    public void recorded() {
        advance(RequestPhase.RECORDED);
    }

    /**
     * Records that bytes of the request may reach a target from now on. Called immediately before each attempt.
     *
     * @param recordNeeded true if the request must have an idempotency record
     * @return false if the request has already ended and must not be sent
     */
    public boolean beginAttempt(final boolean recordNeeded) {
        invariants.check(!endedNotRun, Invariant.NOTHING_SENT_AFTER_NOT_RUN, id::value);
        invariants.check(!recordNeeded || phase == RequestPhase.RECORDED, Invariant.RECORD_BEFORE_SEND, id::value);
        if (phase == RequestPhase.ENDED) {
            return false;
        }
        if (phase != RequestPhase.STREAMING) {
            phaseBeforeSend = phase;
            phase = RequestPhase.SENT;
        }
        return true;
    }

    /** Records that part of the response was forwarded. */
    public void streaming() {
        if (phase == RequestPhase.SENT) {
            phase = RequestPhase.STREAMING;
        }
    }

    /**
     * Records the failure of an attempt. If no part of the response was forwarded, the request returns to its phase
     * before the attempt.
     *
     * @param error the failure
     */
    public void attemptFailed(final BalsambankException error) {
        if (error.kind().executed() != Executed.NO) {
            firstPossiblyRunError = firstPossiblyRunError == null ? error : firstPossiblyRunError;
        }
        if (phase == RequestPhase.SENT) {
            phase = phaseBeforeSend;
        }
    }

    /**
     * Returns whether an attempt may have run.
     *
     * @return true if the request must not end with an error that means "not run"
     */
    public boolean mayHaveRun() {
        return firstPossiblyRunError != null || phase == RequestPhase.SENT || phase == RequestPhase.STREAMING;
    }

    /** Ends the request after a complete response. */
    public void completed() {
        end();
    }

    /** Ends the request because its caller disconnected. */
    public void cancelled() {
        if (phase != RequestPhase.ENDED) {
            end();
        }
    }

    /**
     * Ends the request with an error. An error that means "not run" is replaced by the first error of an earlier
     * attempt that may have run.
     *
     * @param error the error of the last attempt
     * @return the error to report to the caller
     */
    public BalsambankException failed(final BalsambankException error) {
        final BalsambankException reported =
                error.kind().executed() == Executed.NO ? possiblyRunError().orElse(error) : error;
        end();
        endedNotRun = reported.kind().executed() == Executed.NO;
        return reported;
    }

    private Optional<BalsambankException> possiblyRunError() {
        return Optional.ofNullable(firstPossiblyRunError);
    }

    private void advance(final RequestPhase next) {
        if (phase.compareTo(next) < 0) {
            phase = next;
        }
    }

    private void end() {
        invariants.check(phase != RequestPhase.ENDED, Invariant.ONE_TERMINAL_OUTCOME, id::value);
        phase = RequestPhase.ENDED;
    }
}
