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
 * Detects partitions without a live owner and proposes a new assignment for all partitions.
 *
 * <p>Confined to the decision loop. Every VM does this. The scan interval scales with the number of members, so that
 * the fleet as a whole reads the member list at a fixed rate and a gap is detected equally fast at any fleet size.
 * Invariant: a proposal is based on a member list that is at least as new as the assignment that it replaces.
 */
final class AssignmentRepair {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration MIN_SETTLE_DELAY = Duration.ofMillis(200);
    private static final Duration SETTLE_JITTER = Duration.ofMillis(500);
    private static final Duration MASS_LOSS_SETTLE_DELAY = Duration.ofSeconds(3);
    private static final Duration RECENT_REGISTRATION = Duration.ofSeconds(5);
    private static final Duration CONFIRM_AFTER = Duration.ofSeconds(2);
    private static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(2);
    private static final double MASS_LOSS_FRACTION = 0.5;
    private static final double MIN_JITTER_FACTOR = 0.5;
    private static final int SWAPS_PER_RENEWAL = 2;

    private final AdoptedAssignment adopted;
    private final AssignmentStore store;
    private final MembershipReader membershipReader;
    private final MemberLease lease;
    private final Confirmations confirmations;
    private final OwnershipMetrics metrics;
    private final OwnershipSettings settings;
    private final TimerService timer;
    private final RandomGenerator random;

    /**
     * Creates the repair.
     *
     * @param adopted the adopted assignment
     * @param store the store of the assignment
     * @param membershipReader the reader of the membership
     * @param lease the lease and registration of this VM
     * @param confirmations the confirmations of the voters
     * @param metrics the metrics
     * @param settings the ownership settings
     * @param ports the external dependencies
     */
    AssignmentRepair(
            final AdoptedAssignment adopted,
            final AssignmentStore store,
            final MembershipReader membershipReader,
            final MemberLease lease,
            final Confirmations confirmations,
            final OwnershipMetrics metrics,
            final OwnershipSettings settings,
            final OwnershipPorts ports) {
        this.adopted = adopted;
        this.store = store;
        this.membershipReader = membershipReader;
        this.lease = lease;
        this.confirmations = confirmations;
        this.metrics = metrics;
        this.settings = settings;
        this.timer = ports.timer();
        this.random = ports.random();
    }

    /**
     * Scans and repairs until the subscription is disposed.
     *
     * @return never completes
     */
    Completable run() {
        return Completable.defer(() -> timer.after(scanInterval()).andThen(scanOnce()))
                .onErrorComplete()
                .repeat();
    }

    private Completable scanOnce() {
        return Completable.defer(() -> confirmIfDue()
                .andThen(membershipReader.read())
                .flatMapCompletable(members -> plan(members).isEmpty()
                        ? Completable.complete()
                        : timer.after(settleDelay(members))
                                .andThen(membershipReader.read())
                                .flatMapCompletable(this::repair)));
    }

    /** Skips the repair shortly after a swap, so that one swap covers all leases that end within one renewal period. */
    private Completable repair(final Membership members) {
        final Duration spacing = settings.renewEvery().dividedBy(SWAPS_PER_RENEWAL);
        if (adopted.assignment().version() > 0 && adopted.age().compareTo(spacing) < 0) {
            return Completable.complete();
        }
        return plan(members)
                .map(plan -> store.swap(adopted.stored(), plan)
                        .doOnSuccess(result -> {
                            metrics.recordSwap(SwapKind.REPAIR, result.won());
                            if (result.won()) {
                                LOGGER.atInfo().log(
                                        "event=assignment_repaired version=%d members=%d",
                                        plan.version(), members.newest().size());
                            }
                            adopted.adoptIfNewer(result.current());
                        })
                        .ignoreElement())
                .orElse(Completable.complete());
    }

    private Optional<Assignment> plan(final Membership members) {
        membershipReader.recordGone(adopted.assignment().voterSets());
        final boolean upToDate = members.revision() >= adopted.stored().revision();
        if (!upToDate || !lease.protects(lease.member())) {
            return Optional.empty();
        }
        return AssignmentPlanner.repair(
                adopted.assignment(), members, confirmations.confirmed(), adopted.nextWriteId());
    }

    /** Confirms an assignment that still has earlier voter sets, so that the next plan can drop them. */
    private Completable confirmIfDue() {
        if (adopted.assignment().voterSets().size() <= 1 || adopted.age().compareTo(CONFIRM_AFTER) < 0) {
            return Completable.complete();
        }
        return confirmations.confirm().ambWith(timer.after(CONFIRM_TIMEOUT));
    }

    private Duration settleDelay(final Membership members) {
        final boolean recent = lease.age().compareTo(RECENT_REGISTRATION) < 0;
        final boolean massLoss =
                AssignmentPlanner.fractionWithoutOwner(adopted.assignment(), members) > MASS_LOSS_FRACTION;
        final Duration base = recent && massLoss ? MASS_LOSS_SETTLE_DELAY : MIN_SETTLE_DELAY;
        return base.plus(Duration.ofNanos((long) (random.nextDouble() * SETTLE_JITTER.toNanos())));
    }

    private Duration scanInterval() {
        final int members = Math.max(1, membershipReader.members().newest().size());
        final double meanNanos = TimeUnit.SECONDS.toNanos(1) * members / settings.scansPerSecond();
        return Duration.ofNanos((long) (meanNanos * (MIN_JITTER_FACTOR + random.nextDouble())));
    }
}
