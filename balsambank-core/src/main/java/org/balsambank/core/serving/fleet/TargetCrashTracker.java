package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.poison.RequestVerdicts;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.target.CrashId;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.BrokenRuns;

/**
 * Tracks requests whose targets crashed while running them, including those reported by other VMs.
 *
 * <p>It stops a request that crashes every target that starts to run it and that callers retry at any VM, and tells the
 * other VMs of its crashes, trials and responses. A report without a target is of a trial, the claim of
 * one or a response. Confined to the decision loop.
 */
public final class TargetCrashTracker {
    private static final String TRIAL = "trial";
    private static final String RESPONSE = "response";
    private static final String CLAIM = "claim:";
    /** A claim with the number of VMs that come before the one that claims. */
    private static final Pattern CLAIM_WORD = Pattern.compile(CLAIM + "([0-9]{1,6})");

    private final RequestVerdicts requests;
    private final List<BrokenRuns> unreported = new ArrayList<>();
    private final PromptPartTracker parts;

    /**
     * Creates an instance without crashes.
     *
     * @param timer the timer service
     * @param members the registered VMs, which grant the trials in turn
     * @param log the decision log
     */
    public TargetCrashTracker(final TimerService timer, final FleetMembers members, final DecisionLog log) {
        requests = new RequestVerdicts(timer, fingerprint -> members.rank(fingerprint.value()), log);
        parts = new PromptPartTracker(timer, part -> members.isFirstFor(part.value()), log);
    }

    /**
     * Returns the evidence against parts of prompts, which callers send in requests of which no two are alike.
     *
     * @return the tracker of parts
     */
    public PromptPartTracker parts() {
        return parts;
    }

    /**
     * Returns the verdicts on whole requests.
     *
     * @return the verdicts
     */
    public RequestVerdicts requests() {
        return requests;
    }

    /**
     * Records what the connections to a target show after a response of it was lost.
     *
     * @param loss the loss
     * @param finding what they show
     */
    public void decide(final RequestVerdicts.Loss loss, final LossFinding finding) {
        if (requests.decide(loss, finding)) {
            unreported.add(crashReport(loss.fingerprint(), loss.crash()));
        }
    }

    /**
     * Records that a target has responded to a request.
     *
     * @param fingerprint the fingerprint of the request
     */
    public void recordResponse(final Fingerprint fingerprint) {
        if (requests.recordResponse(fingerprint)) {
            unreported.add(report(fingerprint, "", RESPONSE));
        }
    }

    /**
     * Records that the trial of a refused request is sent.
     *
     * @param fingerprint the fingerprint of the request
     */
    public void recordTrial(final Fingerprint fingerprint) {
        requests.trialSent(fingerprint);
        unreported.add(report(fingerprint, "", TRIAL));
    }

    /**
     * Decides whether a refused request may run as a trial.
     *
     * @param fingerprint the fingerprint of the request
     * @return whether it may
     */
    public RequestVerdicts.TrialTurn trialTurn(final Fingerprint fingerprint) {
        final RequestVerdicts.TrialTurn turn = requests.trialTurn(fingerprint);
        if (turn == RequestVerdicts.TrialTurn.CLAIMED) {
            unreported.add(report(fingerprint, "", CLAIM + requests.rank(fingerprint)));
        }
        return turn;
    }

    private static BrokenRuns crashReport(final Fingerprint fingerprint, final CrashId crash) {
        return report(fingerprint, crash.target().value(), crash.boot().value());
    }

    private static BrokenRuns report(final Fingerprint fingerprint, final String target, final String boot) {
        return BrokenRuns.newBuilder()
                .setFingerprint(fingerprint.value())
                .setTarget(target)
                .setBoot(boot)
                .build();
    }

    /**
     * Returns the crash that ends a target's current run.
     *
     * @param target the target
     * @return the id of the crash, the same on all VMs
     */
    public static CrashId crashOf(final TargetAnnouncement target) {
        return new CrashId(target.id(), new BootId(Long.toString(target.startedMillis())));
    }

    /**
     * Records what another VM has reported. A report that can't be read is ignored.
     *
     * @param report the report of a crash, a trial, a claim or a response
     * @param recent whether it has just happened
     * @return true if other VMs may not know it
     */
    public boolean recordReport(final BrokenRuns report, final boolean recent) {
        final Fingerprint fingerprint = new Fingerprint(report.getFingerprint());
        if (!report.getTarget().isEmpty()) {
            return requests.recordReport(
                    fingerprint, new CrashId(new TargetId(report.getTarget()), new BootId(report.getBoot())), recent);
        }
        final String word = report.getBoot();
        if (word.equals(RESPONSE)) {
            return requests.recordResponseReport(fingerprint);
        }
        if (word.equals(TRIAL)) {
            return requests.recordTrialReport(fingerprint);
        }
        final Matcher claim = CLAIM_WORD.matcher(word);
        return claim.matches() && requests.recordClaimReport(fingerprint, Integer.parseInt(claim.group(1)));
    }

    /**
     * Returns the crashes of all requests that must not be run again, for a VM that may have missed their reports.
     *
     * @return one report per crash and request
     */
    public List<BrokenRuns> poisonReports() {
        final List<BrokenRuns> reports = new ArrayList<>();
        requests.registry()
                .poison()
                .forEach((fingerprint, crashes) ->
                        crashes.forEach(crash -> reports.add(crashReport(fingerprint, crash))));
        return reports;
    }

    /**
     * Returns what this VM has observed since the last call.
     *
     * @return the reports that other VMs have not got yet
     */
    public List<BrokenRuns> drainUnreported() {
        final List<BrokenRuns> drained = new ArrayList<>(unreported);
        unreported.clear();
        return drained;
    }
}
