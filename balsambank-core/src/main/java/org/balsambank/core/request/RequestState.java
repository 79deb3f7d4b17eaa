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
 * <p>Invariants: a request ends exactly once; it ends with "not run" only if no byte of any attempt can have reached a
 * target; nothing is sent after the end. Confined to the decision loop.
 */
public final class RequestState {
    private final RequestId id;
    private final InvariantMonitor invariants;
    private RequestPhase phase = RequestPhase.RECEIVED;
    private RequestPhase phaseBeforeSend = RequestPhase.RECEIVED;
    private BalsambankException firstUncertain;
    private boolean endedNotRun;

    /**
     * Creates the state of a request that was just received.
     *
     * @param id the request
     * @param invariants the monitor of invariants
     */
    public RequestState(final RequestId id, final InvariantMonitor invariants) {
        this.id = Objects.requireNonNull(id);
        this.invariants = Objects.requireNonNull(invariants);
    }

    /**
     * Returns the present phase.
     *
     * @return the phase
     */
    public RequestPhase phase() {
        return phase;
    }

    /** Notes that the request was admitted. */
    public void admitted() {
        advance(RequestPhase.ADMITTED);
    }

    /** Notes that the idempotency record is kept. */
    public void recorded() {
        advance(RequestPhase.RECORDED);
    }

    /**
     * Notes that a byte may reach a target from now on. Called right before each attempt.
     *
     * @param recordNeeded true if the request must have an idempotency record
     * @return false if the request has ended and must not be sent
     */
    public boolean sending(final boolean recordNeeded) {
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

    /** Notes that a part of the answer was passed on. */
    public void streaming() {
        if (phase == RequestPhase.SENT) {
            phase = RequestPhase.STREAMING;
        }
    }

    /**
     * Notes how an attempt failed. An attempt that did not run takes the request back to the phase before it.
     *
     * @param error the failure
     */
    public void attemptFailed(final BalsambankException error) {
        if (error.kind().executed() != Executed.NO) {
            firstUncertain = firstUncertain == null ? error : firstUncertain;
        }
        if (phase == RequestPhase.SENT) {
            phase = phaseBeforeSend;
        }
    }

    /**
     * Tells whether an attempt may have run.
     *
     * @return true if "not run" must not be said any more
     */
    public boolean mayHaveRun() {
        return firstUncertain != null || phase == RequestPhase.SENT || phase == RequestPhase.STREAMING;
    }

    /** Ends the request with a whole answer. */
    public void completed() {
        end();
    }

    /** Ends the request because its caller went away. */
    public void cancelled() {
        if (phase != RequestPhase.ENDED) {
            end();
        }
    }

    /**
     * Ends the request with an error. "Not run" gives way to the error of an earlier attempt that may have run.
     *
     * @param error the error
     * @return the error for the caller
     */
    public BalsambankException failed(final BalsambankException error) {
        final BalsambankException truth =
                error.kind().executed() == Executed.NO ? uncertain().orElse(error) : error;
        end();
        endedNotRun = truth.kind().executed() == Executed.NO;
        return truth;
    }

    private Optional<BalsambankException> uncertain() {
        return Optional.ofNullable(firstUncertain);
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
