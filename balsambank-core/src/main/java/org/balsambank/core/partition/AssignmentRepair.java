package org.balsambank.core.partition;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.partition.OwnershipMetrics.SwapKind;
import org.balsambank.core.time.TimerService;

/**
 * Looks for partitions without a live owner and proposes a whole new assignment.
 *
 * <p>Confined to the decision loop. All VMs do this; together they read the list of members at a fixed rate, so that a
 * gap is seen at once by some VM at any size of the fleet. Invariant: a proposal rests on a list that is newer than
 * the assignment which it replaces.
 */
final class AssignmentRepair {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration MIN_SETTLE = Duration.ofMillis(200);
    private static final Duration SETTLE_SPREAD = Duration.ofMillis(500);
    private static final Duration MASS_LOSS_SETTLE = Duration.ofSeconds(3);
    private static final Duration RECENTLY_REGISTERED = Duration.ofSeconds(5);
    private static final Duration FINALISE_AFTER = Duration.ofSeconds(2);
    private static final Duration FINALISE_LIMIT = Duration.ofSeconds(2);
    private static final double MASS_LOSS_SHARE = 0.5;
    private static final double MIN_SPREAD = 0.5;
    private static final int SWAPS_PER_RENEWAL = 2;

    private final AdoptedAssignment adopted;
    private final AssignmentStore store;
    private final MembershipReader scan;
    private final MemberLease lease;
    private final Confirmations confirmations;
    private final OwnershipMetrics metrics;
    private final OwnershipSettings settings;
    private final TimerService timer;
    private final RandomGenerator random;

    /**
     * Creates the repair.
     *
     * @param adopted the assignment
     * @param store keeps it
     * @param scan reads the members
     * @param lease this VM's registration
     * @param confirmations what the voters say
     * @param metrics counts swaps
     * @param settings the durations
     * @param ports the outside
     */
    AssignmentRepair(
            final AdoptedAssignment adopted,
            final AssignmentStore store,
            final MembershipReader scan,
            final MemberLease lease,
            final Confirmations confirmations,
            final OwnershipMetrics metrics,
            final OwnershipSettings settings,
            final OwnershipPorts ports) {
        this.adopted = adopted;
        this.store = store;
        this.scan = scan;
        this.lease = lease;
        this.confirmations = confirmations;
        this.metrics = metrics;
        this.settings = settings;
        this.timer = ports.timer();
        this.random = ports.random();
    }

    /**
     * Looks and repairs until the subscription is disposed.
     *
     * @return never completes
     */
    Completable run() {
        return Completable.defer(() -> timer.after(nextScan()).andThen(once()))
                .onErrorComplete()
                .repeat();
    }

    private Completable once() {
        return Completable.defer(() -> finaliseIfDue()
                .andThen(scan.read())
                .flatMapCompletable(members -> plan(members).isEmpty()
                        ? Completable.complete()
                        : timer.after(settle(members)).andThen(scan.read()).flatMapCompletable(this::repair)));
    }

    /** Waits for further gaps if there has been a swap just now; leases that end together end within one renewal. */
    private Completable repair(final Membership members) {
        final Duration spacing = settings.renewEvery().dividedBy(SWAPS_PER_RENEWAL);
        if (adopted.assignment().version() > 0 && adopted.age().compareTo(spacing) < 0) {
            return Completable.complete();
        }
        return plan(members)
                .map(plan -> store.swap(adopted.stored(), plan)
                        .doOnSuccess(result -> {
                            metrics.swap(SwapKind.REPAIR, result.won());
                            if (result.won()) {
                                LOGGER.atInfo().log(
                                        "event=assignment_repaired version=%d members=%d",
                                        plan.version(), members.newest().size());
                            }
                            adopted.offer(result.current());
                        })
                        .ignoreElement())
                .orElse(Completable.complete());
    }

    private Optional<Assignment> plan(final Membership members) {
        scan.noteGone(adopted.assignment().voterSets());
        final boolean newEnough = members.revision() >= adopted.stored().revision();
        if (!newEnough || !lease.protects(lease.member())) {
            return Optional.empty();
        }
        return AssignmentPlanner.repair(
                adopted.assignment(), members, confirmations.confirmed(), adopted.nextWriteId());
    }

    /** Confirms an assignment that still counts earlier voters, so that the next plan drops them. */
    private Completable finaliseIfDue() {
        if (adopted.assignment().voterSets().size() <= 1 || adopted.age().compareTo(FINALISE_AFTER) < 0) {
            return Completable.complete();
        }
        return confirmations.confirm().ambWith(timer.after(FINALISE_LIMIT));
    }

    private Duration settle(final Membership members) {
        final boolean fresh = lease.age().compareTo(RECENTLY_REGISTERED) < 0;
        final boolean massLoss = AssignmentPlanner.shareWithoutOwner(adopted.assignment(), members) > MASS_LOSS_SHARE;
        final Duration base = fresh && massLoss ? MASS_LOSS_SETTLE : MIN_SETTLE;
        return base.plus(Duration.ofNanos((long) (random.nextDouble() * SETTLE_SPREAD.toNanos())));
    }

    private Duration nextScan() {
        final int members = Math.max(1, scan.members().newest().size());
        final double meanNanos = TimeUnit.SECONDS.toNanos(1) * members / settings.scansPerSecond();
        return Duration.ofNanos((long) (meanNanos * (MIN_SPREAD + random.nextDouble())));
    }
}
