package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
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

    /**
     * Creates an instance without crashes.
     *
     * @param timer the timer service
     */
    public TargetCrashTracker(final TimerService timer) {
        register = new PoisonRequestRegistry(timer);
    }

    /**
     * Records that a target was lost while running a request.
     *
     * @param fingerprint the fingerprint of the request
     * @param target the target
     */
    public void recordCrash(final Fingerprint fingerprint, final TargetAnnouncement target) {
        final BootId boot = new BootId(Long.toString(target.startedMillis()));
        if (register.record(fingerprint, new CrashId(target.id(), boot))) {
            unreported.add(BrokenRuns.newBuilder()
                    .setFingerprint(fingerprint.value())
                    .setTarget(target.id().value())
                    .setBoot(boot.value())
                    .build());
        }
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
