package org.balsambank.core.serving.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.poison.RequestVerdicts;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.target.CrashId;

/**
 * Decides whether one request may run in view of the crashes of targets, and reports what its attempts show of them.
 *
 * <p>Confined to the decision loop.
 */
final class CrashGuard {
    private final TargetCrashTracker tracker;
    private final RequestAttributes attributes;
    private boolean partTrial;
    private boolean requestTrial;
    private boolean claiming;

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
        final Fingerprint fingerprint = attributes.fingerprint();
        if (!claiming && !requestTrial && tracker.requests().refused(fingerprint)) {
            final RequestVerdicts.TrialTurn turn = tracker.trialTurn(fingerprint);
            claiming = turn == RequestVerdicts.TrialTurn.CLAIMED;
            requestTrial = turn == RequestVerdicts.TrialTurn.GRANTED;
            if (turn == RequestVerdicts.TrialTurn.NONE) {
                return Optional.of(new Refusal(
                        ErrorKind.POISON_REQUEST, "the same request has crashed several targets: " + fingerprint));
            }
        }
        final List<PromptPartId> causes = tracker.parts().findCauses(attributes.sharedParts());
        partTrial = partTrial || tracker.parts().grantTrial(causes);
        return causes.isEmpty() || partTrial
                ? Optional.empty()
                : Optional.of(new Refusal(ErrorKind.POISON_PROMPT_PART, "targets crash on one of the parts " + causes));
    }

    /**
     * Returns a signal that the request may go on, if it must wait for the decision on losses of the same request, or
     * for the decision which VM tries it.
     *
     * @return the signal, empty if the request need not wait
     */
    Optional<Completable> hold() {
        if (claiming) {
            return Optional.of(tracker.requests().claimDecided().doOnComplete(() -> claiming = false));
        }
        final Fingerprint fingerprint = attributes.fingerprint();
        return tracker.requests().held(fingerprint)
                ? Optional.of(tracker.requests().hold(attributes.id(), fingerprint))
                : Optional.empty();
    }

    /** Returns a signal after which the request may have to be refused, although it may run now. */
    Observable<PromptPartTracker> verdicts() {
        return attributes.sharedParts().isEmpty()
                ? Observable.never()
                : tracker.parts().verdicts();
    }

    /**
     * Records that an attempt is sent now.
     *
     * @param target its target
     * @param attempt the listener of the attempt
     * @return the listener that gets the events first
     */
    AttemptListener watch(final TargetAnnouncement target, final AttemptListener attempt) {
        if (requestTrial) {
            tracker.recordTrial(attributes.fingerprint());
        }
        return new AttemptWatch(this, target, tracker.parts().evidence(attributes.sharedParts()), attempt);
    }

    /** Records that a target survived responding to the request. */
    void targetResponded() {
        tracker.parts().recordResponse(attributes.sharedParts());
        targetAnswered();
    }

    /** Records that a target survived the request, which it may not have run. */
    void targetAnswered() {
        tracker.recordResponse(attributes.fingerprint());
    }

    /** Records that an attempt has ended, and that its target has neither crashed nor responded with success. */
    void targetNotReached() {
        if (requestTrial) {
            tracker.requests().trialSurvived(attributes.fingerprint());
        }
    }

    /**
     * Records that the response of a target was lost while it ran the request.
     *
     * @param target the target
     * @param progress how far its response was
     * @param evidenceAtSend the evidence against the parts of the prompt when the request was sent
     * @param finding finds out whether the target has crashed; empty if it has, or if that can't be found out
     */
    void targetLost(
            final TargetAnnouncement target,
            final Progress progress,
            final PromptPartTracker.Evidence evidenceAtSend,
            final Optional<Single<LossFinding>> finding) {
        final CrashId crash = TargetCrashTracker.crashOf(target);
        final RequestVerdicts.Loss loss = tracker.requests().lose(attributes.id(), attributes.fingerprint(), crash);
        final boolean wasTrial = requestTrial;
        requestTrial = false;
        partTrial = false;
        finding.orElse(Single.just(LossFinding.UNKNOWN)).subscribe(found -> {
            tracker.decide(loss, found);
            if (found.survived() && wasTrial) {
                tracker.requests().trialSurvived(attributes.fingerprint());
            }
            if (!found.survived() && progress != Progress.RESPONDING) {
                tracker.parts().recordLoss(attributes.sharedParts(), evidenceAtSend, crash, progress == Progress.BEGUN);
            }
        });
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
