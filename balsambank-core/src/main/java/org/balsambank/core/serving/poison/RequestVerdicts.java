package org.balsambank.core.serving.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToIntFunction;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.target.CrashId;
import org.balsambank.core.target.PoisonRequestRegistry;
import org.balsambank.core.time.TimerService;

/**
 * Finds requests that crash each target on which they run: the same path, caller and body, again and again.
 *
 * <p>A lost response is undecided until its connections show whether the target's process has ended. Undecided losses
 * convict nobody; together with crashes they hold the same request back, so that it reaches no further target before
 * the decision. A verdict ends with the first response to the request at any VM, of which {@link RequestTrials} allows
 * a few.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestVerdicts {
    private static final int POISON_THRESHOLD = 2;

    private final TimerService timer;
    private final ToIntFunction<Fingerprint> rank;
    private final DecisionLog log;
    private final PoisonRequestRegistry registry;
    private final RequestTrials trials;
    private final Map<Fingerprint, List<CrashId>> undecided = new HashMap<>();
    private final PublishSubject<Fingerprint> decisions = PublishSubject.create();

    /**
     * Creates an instance without evidence.
     *
     * @param timer the timer service
     * @param rank returns how many VMs come before this one for a request
     * @param log the decision log; gets a line for each crash that is believed or taken back, and for each verdict that
     *     begins, is tried or ends
     */
    public RequestVerdicts(final TimerService timer, final ToIntFunction<Fingerprint> rank, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.rank = Objects.requireNonNull(rank);
        this.log = Objects.requireNonNull(log);
        registry = new PoisonRequestRegistry(timer);
        trials = new RequestTrials(timer);
    }

    /**
     * Returns the crashes that are believed.
     *
     * @return the registry
     */
    public PoisonRequestRegistry registry() {
        return registry;
    }

    /**
     * Records that a response was lost, and that it is not known yet whether its target has crashed.
     *
     * @param request the request
     * @param fingerprint its fingerprint
     * @param crash the crash that it would be
     * @return the loss, to be decided by {@link #decide}
     */
    public Loss lose(final RequestId request, final Fingerprint fingerprint, final CrashId crash) {
        undecided.computeIfAbsent(fingerprint, ignored -> new ArrayList<>()).add(crash);
        return new Loss(request, fingerprint, crash, timer.nanoTime());
    }

    /**
     * Records what the connections to the target show after a loss.
     *
     * @param loss the loss, decided once
     * @param finding what the connections show
     * @return true if the loss is a crash that was not known before
     */
    public boolean decide(final Loss loss, final LossFinding finding) {
        final Fingerprint fingerprint = loss.fingerprint;
        undecided.computeIfPresent(fingerprint, (ignored, losses) -> {
            losses.remove(loss.crash);
            return losses.isEmpty() ? null : losses;
        });
        timer.after(Duration.ZERO).subscribe(() -> decisions.onNext(fingerprint));
        log.line(finding.survived() ? "crash_taken_back" : "crash_believed")
                .with("request", loss.request.value())
                .with("fingerprint", fingerprint.value())
                .with("target", loss.crash.target().value())
                .with("started_ms", loss.crash.boot().value())
                .with("signal", finding.code())
                .with(
                        "age_ms",
                        Duration.ofNanos(timer.nanoTime() - loss.lostNanos).toMillis())
                .write();
        if (finding.survived()) {
            return false;
        }
        final boolean before = refused(fingerprint);
        final boolean added = registry.recordObserved(fingerprint, loss.crash);
        crashRecorded(fingerprint, added, before, "own");
        return added;
    }

    /**
     * Records a crash that another VM has reported.
     *
     * @param fingerprint the fingerprint of the request
     * @param crash the crash
     * @param recent whether it has just happened
     * @return true if it was not known before
     */
    public boolean recordReport(final Fingerprint fingerprint, final CrashId crash, final boolean recent) {
        final boolean before = refused(fingerprint);
        final boolean added = registry.record(fingerprint, crash);
        crashRecorded(fingerprint, recent && (added || !trials.known(fingerprint)), before, "report");
        return added;
    }

    private void crashRecorded(
            final Fingerprint fingerprint, final boolean recent, final boolean refusedBefore, final String source) {
        if (recent) {
            trials.crashed(fingerprint);
        }
        if (!refusedBefore && refused(fingerprint)) {
            verdictLine("request_refused", fingerprint)
                    .with("crashes", registry.crashes(fingerprint).size())
                    .with("source", source)
                    .write();
        }
    }

    /**
     * Returns whether a request must not run, unless it is a trial.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if it has crashed several targets
     */
    public boolean refused(final Fingerprint fingerprint) {
        return registry.verdict(fingerprint) == PoisonRequestRegistry.Verdict.POISON;
    }

    /**
     * Returns whether a request must wait for the decision on losses that would suffice for a verdict.
     *
     * @param fingerprint the fingerprint of the request
     * @return true until they are decided
     */
    public boolean held(final Fingerprint fingerprint) {
        final List<CrashId> losses = undecided.get(fingerprint);
        if (losses == null) {
            return false;
        }
        final Set<CrashId> all = new HashSet<>(losses);
        all.addAll(registry.crashes(fingerprint));
        return all.size() >= POISON_THRESHOLD;
    }

    /**
     * Holds a request, and returns a signal that it need not be held any more.
     *
     * @param request the request
     * @param fingerprint its fingerprint
     * @return completes on the decision loop, after the losses were decided
     */
    public Completable hold(final RequestId request, final Fingerprint fingerprint) {
        verdictLine("request_held", fingerprint)
                .with("request", request.value())
                .with("undecided", undecided.get(fingerprint).size())
                .write();
        return decisions
                .filter(each -> each.equals(fingerprint) && !held(fingerprint))
                .firstElement()
                .ignoreElement();
    }

    /**
     * Decides whether a refused request may run as a trial.
     *
     * @param fingerprint the fingerprint of the request
     * @return whether it may; with {@link TrialTurn#CLAIMED} the other VMs must be told the {@link #rank}
     */
    public TrialTurn trialTurn(final Fingerprint fingerprint) {
        if (trials.won(fingerprint)) {
            trials.reserved(fingerprint);
            verdictLine("request_trial", fingerprint).write();
            return TrialTurn.GRANTED;
        }
        return trials.claim(fingerprint, rank(fingerprint)) ? TrialTurn.CLAIMED : TrialTurn.NONE;
    }

    /**
     * Returns how many VMs come before this one for a request.
     *
     * @param fingerprint the fingerprint of the request
     * @return 0 on the VM whose claims of trials always win
     */
    public int rank(final Fingerprint fingerprint) {
        return rank.applyAsInt(fingerprint);
    }

    /**
     * Returns a signal that a claim of a trial is decided.
     *
     * @return completes on the decision loop, after the claims of all VMs have reached each other
     */
    public Completable claimDecided() {
        return timer.after(RequestTrials.CLAIM_WAIT);
    }

    /**
     * Records that another VM has claimed a trial.
     *
     * @param fingerprint the fingerprint of the request
     * @param otherRank the rank of that VM
     * @return true if the claim was not known and wins so far
     */
    public boolean recordClaimReport(final Fingerprint fingerprint, final int otherRank) {
        return trials.claimedElsewhere(fingerprint, otherRank);
    }

    /**
     * Records that this VM has sent a trial.
     *
     * @param fingerprint the fingerprint of the request
     */
    public void trialSent(final Fingerprint fingerprint) {
        trials.sent(fingerprint);
    }

    /**
     * Records that another VM has reported a trial.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if this was not known before
     */
    public boolean recordTrialReport(final Fingerprint fingerprint) {
        return trials.sentElsewhere(fingerprint);
    }

    /**
     * Records that a trial has not crashed its target, though its response was lost.
     *
     * @param fingerprint the fingerprint of the request
     */
    public void trialSurvived(final Fingerprint fingerprint) {
        trials.survived(fingerprint);
    }

    /**
     * Records that a target has responded to a request, which ends all suspicion against it.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if there was any
     */
    public boolean recordResponse(final Fingerprint fingerprint) {
        return !registry.crashes(fingerprint).isEmpty() && clear(fingerprint, "response");
    }

    /**
     * Records that another VM has reported a response to a request.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if this was not known before
     */
    public boolean recordResponseReport(final Fingerprint fingerprint) {
        return clear(fingerprint, "report");
    }

    private boolean clear(final Fingerprint fingerprint, final String source) {
        if (refused(fingerprint)) {
            verdictLine("request_cleared", fingerprint).with("source", source).write();
        }
        trials.forget(fingerprint);
        return registry.clear(fingerprint);
    }

    private DecisionLog.Line verdictLine(final String event, final Fingerprint fingerprint) {
        return log.line(event).with("fingerprint", fingerprint.value());
    }

    /** Whether a refused request may run as a trial. Immutable and thread-safe. */
    public enum TrialTurn {
        /** It may not. */
        NONE,
        /** It may if the claim of this VM wins. */
        CLAIMED,
        /** It may. */
        GRANTED
    }

    /** A loss that is not decided yet. Immutable and thread-safe. */
    public static final class Loss {
        private final RequestId request;
        private final Fingerprint fingerprint;
        private final CrashId crash;
        private final long lostNanos;

        private Loss(
                final RequestId request, final Fingerprint fingerprint, final CrashId crash, final long lostNanos) {
            this.request = request;
            this.fingerprint = fingerprint;
            this.crash = crash;
            this.lostNanos = lostNanos;
        }

        /**
         * Returns the fingerprint of the request.
         *
         * @return the fingerprint
         */
        public Fingerprint fingerprint() {
            return fingerprint;
        }

        /**
         * Returns the crash that the loss would be.
         *
         * @return the id of the crash
         */
        public CrashId crash() {
            return crash;
        }
    }
}
