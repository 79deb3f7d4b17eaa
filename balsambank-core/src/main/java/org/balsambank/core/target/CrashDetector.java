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
 * Finds out which broken requests went down with their target.
 *
 * <p>A report that was asked for after the break decides: another boot id, or none at all, means that the target was
 * lost. A target that comes back with the same boot id was only out of reach. Confined to the decision loop.
 */
final class CrashDetector {
    private final TargetId target;
    private final GateContext context;
    private final List<Suspect> broken = new ArrayList<>();
    private final List<Suspect> asked = new ArrayList<>();
    private final Set<BootId> outOfReach = new HashSet<>();

    /**
     * Creates a watch without broken requests.
     *
     * @param target the target
     * @param context what the targets share
     */
    CrashDetector(final TargetId target, final GateContext context) {
        this.target = target;
        this.context = context;
    }

    /**
     * Takes note of a request whose connection broke.
     *
     * @param fingerprint what ran
     * @param boot the boot of the target that it was sent to
     * @param trial the trial that ends when it is known what happened
     */
    void broke(final Fingerprint fingerprint, final BootId boot, final Optional<CrashTrial> trial) {
        broken.add(new Suspect(fingerprint, boot, trial));
    }

    /** Takes note that a report is asked for now. */
    void reportAsked() {
        asked.addAll(broken);
        broken.clear();
    }

    /**
     * Tells whether requests broke after the last report was asked for.
     *
     * @return true if another report is needed
     */
    boolean needsReport() {
        return !broken.isEmpty();
    }

    /**
     * Tells whether a report was asked for because of broken requests.
     *
     * @return true if it decides about some
     */
    boolean decides() {
        return !asked.isEmpty();
    }

    /**
     * Decides by a report.
     *
     * @param boot the boot id of the report
     */
    void reported(final BootId boot) {
        if (outOfReach.remove(boot)) {
            final CrashId crash = new CrashId(target, boot);
            context.poison().retract(crash);
            context.trials().announce(crash, Set.of());
        }
        outOfReach.clear();
        decide(suspect -> !suspect.boot.equals(boot));
    }

    /** Decides by the lack of a report. */
    void unreachable() {
        asked.forEach(suspect -> outOfReach.add(suspect.boot));
        decide(suspect -> true);
    }

    private void decide(final Predicate<Suspect> lost) {
        final Map<CrashId, Set<Fingerprint>> crashes = new HashMap<>();
        for (final Suspect suspect : asked) {
            if (lost.test(suspect)) {
                final CrashId crash = new CrashId(target, suspect.boot);
                context.poison().record(suspect.fingerprint, crash);
                context.meters().lostWithTarget();
                crashes.computeIfAbsent(crash, key -> new HashSet<>()).add(suspect.fingerprint);
            }
        }
        crashes.forEach(context.trials()::announce);
        final List<Suspect> decided = List.copyOf(asked);
        asked.clear();
        decided.forEach(suspect -> suspect.trial.ifPresent(CrashTrial::end));
    }

    /** A request whose connection broke. */
    private record Suspect(Fingerprint fingerprint, BootId boot, Optional<CrashTrial> trial) {}
}
