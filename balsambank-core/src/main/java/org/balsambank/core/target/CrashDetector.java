package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;

/**
 * Determines whether requests whose connection broke were running when their target crashed.
 *
 * <p>The decision uses a report that was requested after the connection broke: another boot id, or no report at all,
 * means that the target crashed. The crash is retracted if the target later reports the same boot id, because it was
 * only unreachable. Confined to the decision loop.
 */
final class CrashDetector {
    private final TargetId target;
    private final GateContext context;
    private final List<BrokenRequest> broken = new ArrayList<>();
    private final List<BrokenRequest> awaitingReport = new ArrayList<>();
    private final Set<BootId> unreachableBoots = new HashSet<>();

    /**
     * Creates a detector without undecided requests.
     *
     * @param target the target whose crashes are detected
     * @param context dependencies shared by all targets
     */
    CrashDetector(final TargetId target, final GateContext context) {
        this.target = target;
        this.context = context;
    }

    /**
     * Records a request whose connection broke.
     *
     * @param fingerprint the fingerprint of the request
     * @param boot the boot of the target that the request was sent to
     * @param trial the trial to end once it is decided whether the request ran during a crash
     */
    void connectionBroken(final Fingerprint fingerprint, final BootId boot, final Optional<CrashTrial> trial) {
        broken.add(new BrokenRequest(fingerprint, boot, trial));
    }

    /** Records that a report is being requested now. */
    void reportRequested() {
        awaitingReport.addAll(broken);
        broken.clear();
    }

    /**
     * Returns whether connections broke after the last report was requested.
     *
     * @return true if another report is needed
     */
    boolean needsReport() {
        return !broken.isEmpty();
    }

    /**
     * Returns whether any request is undecided until the requested report arrives.
     *
     * @return true if at least one request awaits the report
     */
    boolean hasAwaitingRequests() {
        return !awaitingReport.isEmpty();
    }

    /**
     * Decides the awaiting requests by a report.
     *
     * @param boot the boot id in the report
     */
    void onReport(final BootId boot) {
        if (unreachableBoots.remove(boot)) {
            final CrashId crash = new CrashId(target, boot);
            context.poison().retract(crash);
            context.trials().announce(crash, Set.of());
        }
        unreachableBoots.clear();
        decide(request -> !request.boot.equals(boot));
    }

    /** Decides the awaiting requests as crashed because no report could be fetched. */
    void onReportFailed() {
        awaitingReport.forEach(request -> unreachableBoots.add(request.boot));
        decide(request -> true);
    }

    private void decide(final Predicate<BrokenRequest> crashed) {
        final Map<CrashId, Set<Fingerprint>> crashes = new HashMap<>();
        for (final BrokenRequest request : awaitingReport) {
            if (crashed.test(request)) {
                final CrashId crash = new CrashId(target, request.boot);
                context.poison().recordObserved(request.fingerprint, crash);
                context.meters().lostWithTarget();
                crashes.computeIfAbsent(crash, key -> new HashSet<>()).add(request.fingerprint);
            }
        }
        crashes.forEach(context.trials()::announce);
        final List<BrokenRequest> decided = List.copyOf(awaitingReport);
        awaitingReport.clear();
        decided.forEach(request -> request.trial.ifPresent(CrashTrial::end));
    }

    /** A request whose connection broke, with the boot that it was sent to. */
    private record BrokenRequest(Fingerprint fingerprint, BootId boot, Optional<CrashTrial> trial) {}
}
