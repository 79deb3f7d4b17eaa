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
 * Requests whose targets were lost while they ran, known to all VMs.
 *
 * <p>Answers the load pattern of one request that crashes each target that begins to run it and comes again at any VM.
 * Confined to the decision loop.
 */
public final class TargetCrashTracker {
    private final PoisonRequestRegistry register;
    private final List<BrokenRuns> untold = new ArrayList<>();

    /**
     * Creates a book without losses.
     *
     * @param timer gives the time
     */
    public TargetCrashTracker(final TimerService timer) {
        register = new PoisonRequestRegistry(timer);
    }

    /**
     * A target was lost while it ran a request.
     *
     * @param fingerprint what ran
     * @param target the target
     */
    public void lost(final Fingerprint fingerprint, final TargetAnnouncement target) {
        final BootId boot = new BootId(Long.toString(target.startedMillis()));
        if (register.record(fingerprint, new CrashId(target.id(), boot))) {
            untold.add(BrokenRuns.newBuilder()
                    .setFingerprint(fingerprint.value())
                    .setTarget(target.id().value())
                    .setBoot(boot.value())
                    .build());
        }
    }

    /**
     * Another VM tells of a loss.
     *
     * @param loss the loss
     * @return true if it was not known
     */
    public boolean told(final BrokenRuns loss) {
        return register.record(
                new Fingerprint(loss.getFingerprint()),
                new CrashId(new TargetId(loss.getTarget()), new BootId(loss.getBoot())));
    }

    /**
     * Tells whether a request is not to run again.
     *
     * @param fingerprint what would run
     * @return true if it has cost several targets
     */
    public boolean poison(final Fingerprint fingerprint) {
        return register.verdict(fingerprint) == PoisonRequestRegistry.Verdict.POISON;
    }

    /**
     * Returns the losses since the last call.
     *
     * @return the losses that only this VM knows
     */
    public List<BrokenRuns> takeUntold() {
        final List<BrokenRuns> taken = new ArrayList<>(untold);
        untold.clear();
        return taken;
    }
}
