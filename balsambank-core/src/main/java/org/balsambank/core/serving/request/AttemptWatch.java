package org.balsambank.core.serving.request;

import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * Tells the {@link CrashGuard} of a request what one of its attempts shows of its target, and passes all events on.
 *
 * <p>Confined to the decision loop.
 */
final class AttemptWatch implements AttemptListener {
    private static final int MISDIRECTED_REQUEST = 421;
    /** The chunks of a response after which its target has survived the beginning. */
    private static final int SURVIVED_CHUNKS = 2;

    private final CrashGuard guard;
    private final TargetAnnouncement target;
    private final PromptPartTracker.Evidence evidenceAtSend;
    private final AttemptListener attempt;
    private Optional<Single<LossFinding>> finding = Optional.empty();
    private ResponseHead head;
    private boolean forwarded;
    private int chunks;

    /**
     * Creates the watch of an attempt that is about to be sent.
     *
     * @param guard is told what the attempt shows
     * @param target the target
     * @param evidenceAtSend the evidence against the parts of the prompt
     * @param attempt gets all events
     */
    AttemptWatch(
            final CrashGuard guard,
            final TargetAnnouncement target,
            final PromptPartTracker.Evidence evidenceAtSend,
            final AttemptListener attempt) {
        this.guard = Objects.requireNonNull(guard);
        this.target = Objects.requireNonNull(target);
        this.evidenceAtSend = Objects.requireNonNull(evidenceAtSend);
        this.attempt = Objects.requireNonNull(attempt);
    }

    @Override
    public void headArrived(final ResponseHead received) {
        attempt.headArrived(received);
    }

    @Override
    public boolean head(final ResponseHead received) {
        head = received;
        forwarded = attempt.head(received);
        return forwarded;
    }

    @Override
    public void chunk() {
        if (++chunks == SURVIVED_CHUNKS && head.success()) {
            guard.targetResponded();
        }
        attempt.chunk();
    }

    @Override
    public void lossInDoubt(final Single<LossFinding> inDoubt) {
        finding = Optional.of(inDoubt);
    }

    @Override
    public void ended(final AttemptEnd end) {
        switch (end) {
            case COMPLETE -> responseEnded();
            case NOT_SENT -> guard.targetNotReached();
            default -> guard.targetLost(target, progress(), evidenceAtSend, finding);
        }
        attempt.ended(end);
    }

    private void responseEnded() {
        if (forwarded && head.success()) {
            guard.targetResponded();
        } else if (forwarded && !head.serverError()) {
            guard.targetAnswered();
        } else {
            guard.targetNotReached();
        }
    }

    private CrashGuard.Progress progress() {
        if (head == null || head.notExecuted() || head.status() == MISDIRECTED_REQUEST) {
            return CrashGuard.Progress.WAITING;
        }
        return chunks < SURVIVED_CHUNKS ? CrashGuard.Progress.BEGUN : CrashGuard.Progress.RESPONDING;
    }
}
