package org.balsambank.core.serving.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Observable;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * Decides whether one request may run in view of the crashes of targets, and reports what its attempts show of them.
 *
 * <p>Confined to the decision loop.
 */
final class CrashGuard {
    private final TargetCrashTracker tracker;
    private final RequestAttributes attributes;
    private boolean trial;
    private PromptPartTracker.Evidence evidenceAtSend = PromptPartTracker.Evidence.EMPTY;

    /**
     * Creates the guard of a request.
     *
     * @param tracker the requests and parts of prompts whose targets crashed
     * @param attributes the attributes of the request
     */
    CrashGuard(final TargetCrashTracker tracker, final RequestAttributes attributes) {
        this.tracker = Objects.requireNonNull(tracker);
        this.attributes = Objects.requireNonNull(attributes);
    }

    /**
     * Returns the reason to refuse the request.
     *
     * @return the reason, empty if the request may be sent
     */
    Optional<Refusal> refusal() {
        if (tracker.isPoison(attributes.fingerprint())) {
            return Optional.of(new Refusal(ErrorKind.POISON_REQUEST, "the same request has crashed several targets"));
        }
        final List<PromptPartId> causes = tracker.parts().findCauses(attributes.sharedParts());
        trial = trial || tracker.parts().grantTrial(causes);
        return causes.isEmpty() || trial
                ? Optional.empty()
                : Optional.of(new Refusal(ErrorKind.POISON_PROMPT_PART, "targets crash on one of the parts " + causes));
    }

    /** Returns a signal after which the request may have to be refused, although it may run now. */
    Observable<PromptPartTracker> verdicts() {
        return attributes.sharedParts().isEmpty()
                ? Observable.never()
                : tracker.parts().verdicts();
    }

    /** Records that an attempt is sent now. */
    void attemptSent() {
        evidenceAtSend = tracker.parts().evidence(attributes.sharedParts());
    }

    /** Records that a target survived responding to the request. */
    void targetResponded() {
        tracker.parts().recordResponse(attributes.sharedParts());
    }

    /**
     * Records that the target was lost while it ran the request.
     *
     * @param target the target
     * @param progress how far its response was
     */
    void targetLost(final TargetAnnouncement target, final Progress progress) {
        tracker.recordCrash(attributes.fingerprint(), target);
        if (progress != Progress.RESPONDING) {
            tracker.parts()
                    .recordLoss(
                            attributes.sharedParts(),
                            evidenceAtSend,
                            TargetCrashTracker.crashOf(target),
                            progress == Progress.BEGUN);
        }
    }

    /** How far a response was. Immutable and thread-safe. */
    enum Progress {
        /** Nothing of the response has arrived. */
        WAITING,
        /** The response has begun, but its target has not gone on after the first chunk. */
        BEGUN,
        /** The target was in the middle of the response. */
        RESPONDING
    }

    /**
     * A reason to refuse a request.
     *
     * @param kind the kind of the error
     * @param reason the reason, for the log
     */
    record Refusal(ErrorKind kind, String reason) {}
}
