package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.target.CrashId;
import org.balsambank.core.target.PoisonRequestRegistry;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.BrokenRuns;

/**
 * Tracks requests whose targets crashed while running them, including those reported by other VMs.
 *
 * <p>It stops a request that crashes every target that starts to run it and that callers retry at any VM. Confined to
 * the decision loop.
 */
public final class TargetCrashTracker {
    private final PoisonRequestRegistry register;
    private final List<BrokenRuns> unreported = new ArrayList<>();
    private final PromptPartTracker parts;

    /**
     * Creates an instance without crashes.
     *
     * @param timer the timer service
     * @param members the registered VMs, of which one grants the trials of a part
     * @param log the decision log
     */
    public TargetCrashTracker(final TimerService timer, final FleetMembers members, final DecisionLog log) {
        register = new PoisonRequestRegistry(timer);
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
     * Returns the crashes of whole requests.
     *
     * @return the registry
     */
    public PoisonRequestRegistry requests() {
        return register;
    }

    /**
     * Records that a target was lost while running a request.
     *
     * @param fingerprint the fingerprint of the request
     * @param target the target
     */
    public void recordCrash(final Fingerprint fingerprint, final TargetAnnouncement target) {
        final CrashId crash = crashOf(target);
        if (register.recordObserved(fingerprint, crash)) {
            unreported.add(report(fingerprint, crash));
        }
    }

    private static BrokenRuns report(final Fingerprint fingerprint, final CrashId crash) {
        return BrokenRuns.newBuilder()
                .setFingerprint(fingerprint.value())
                .setTarget(crash.target().value())
                .setBoot(crash.boot().value())
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
     * Records a crash reported by another VM.
     *
     * @param crash the report
     * @return true if the crash was not known before
     */
    public boolean recordReport(final BrokenRuns crash) {
        return register.record(
                new Fingerprint(crash.getFingerprint()),
                new CrashId(new TargetId(crash.getTarget()), new BootId(crash.getBoot())));
    }

    /**
     * Returns whether a request must not be run again.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if it has crashed several targets
     */
    public boolean isPoison(final Fingerprint fingerprint) {
        return register.verdict(fingerprint) == PoisonRequestRegistry.Verdict.POISON;
    }

    /**
     * Returns the crashes of all requests that must not be run again, for a VM that may have missed their reports.
     *
     * @return one report per crash and request
     */
    public List<BrokenRuns> poisonReports() {
        final List<BrokenRuns> reports = new ArrayList<>();
        register.poison()
                .forEach((fingerprint, crashes) -> crashes.forEach(crash -> reports.add(report(fingerprint, crash))));
        return reports;
    }

    /**
     * Returns the crashes observed by this VM since the last call.
     *
     * @return the crashes not yet reported to other VMs
     */
    public List<BrokenRuns> drainUnreported() {
        final List<BrokenRuns> drained = new ArrayList<>(unreported);
        unreported.clear();
        return drained;
    }
}
