package org.balsambank.core.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.time.TimerService;

/**
 * The epoch under which this VM controls a target, and what it has to wait for after the epoch began.
 *
 * <p>Invariant: for the first epoch of a partition there is no previous owner, so neither reports nor commands wait.
 * Confined to the decision loop.
 */
final class TargetEpoch {
    /** Upper bound on the time from the gain of a target until no command of the previous owner is in flight. */
    private static final Duration PREVIOUS_OWNER_COMMAND_TIME =
            AdapterLoader.LOAD_TIMEOUT.plus(AdapterResidency.REPORT_LAG);

    private static final Epoch FIRST_EPOCH = new Epoch(1);

    private final Ownership ownership;
    private final PartitionId partition;
    private final TimerService timers;
    private Optional<Epoch> newest = Optional.empty();
    private boolean fenced;
    private boolean awaitsReport;
    private long reportsTrustedAfterNanos;
    private long commandsAllowedAfterNanos;

    /**
     * Creates an instance without an epoch.
     *
     * @param ownership determines which partitions this VM holds
     * @param partition the partition of the target
     * @param timers the clock
     */
    TargetEpoch(final Ownership ownership, final PartitionId partition, final TimerService timers) {
        this.ownership = Objects.requireNonNull(ownership);
        this.partition = Objects.requireNonNull(partition);
        this.timers = Objects.requireNonNull(timers);
    }

    /**
     * Adopts the epoch that this VM holds now.
     *
     * @return true if it is another one than before; the target has to be reported on anew
     */
    boolean adopt() {
        final Optional<Epoch> held = ownership.heldEpoch(partition);
        if (held.isEmpty() || held.equals(newest)) {
            return false;
        }
        newest = held;
        fenced = false;
        awaitsReport = true;
        final boolean first = held.get().equals(FIRST_EPOCH);
        reportsTrustedAfterNanos = timers.nanoTime() + (first ? 0 : AdapterResidency.REPORT_LAG.toNanos());
        commandsAllowedAfterNanos = timers.nanoTime() + (first ? 0 : PREVIOUS_OWNER_COMMAND_TIME.toNanos());
        return true;
    }

    /**
     * Returns the newest adopted epoch.
     *
     * @return the epoch, held or not; empty before the first one
     */
    Optional<Epoch> newest() {
        return newest;
    }

    /**
     * Returns the epoch that permits and commands may carry now.
     *
     * @return the newest epoch if this VM still holds it and the target has not rejected it
     */
    Optional<Epoch> current() {
        return fenced
                ? Optional.empty()
                : ownership.heldEpoch(partition).filter(held -> newest.filter(held::equals)
                        .isPresent());
    }

    /** Records that the target rejected the newest epoch. */
    void fence() {
        fenced = true;
    }

    /**
     * Returns whether no report yet includes every request of the previous owner.
     *
     * @return true until {@link #reportArrived} has returned true
     */
    boolean awaitsReport() {
        return awaitsReport;
    }

    /**
     * Returns whether a report requested now would include every request of the previous owner.
     *
     * @return true if the requests of the previous owner have reached the target
     */
    boolean trustsReports() {
        return timers.nanoTime() - reportsTrustedAfterNanos >= 0;
    }

    /**
     * Returns when reports become complete.
     *
     * @return the time on the clock in nanoseconds
     */
    long reportsTrustedAfterNanos() {
        return reportsTrustedAfterNanos;
    }

    /**
     * Records a report.
     *
     * @param requestedNanos when it was requested, on the clock
     * @return true if it is the first that includes every request of the previous owner
     */
    boolean reportArrived(final long requestedNanos) {
        final boolean awaited = awaitsReport && requestedNanos - reportsTrustedAfterNanos >= 0;
        awaitsReport &= !awaited;
        return awaited;
    }

    /**
     * Returns whether commands have to wait.
     *
     * @return true if a report is awaited or a command of the previous owner can still be in flight
     */
    boolean commandsWait() {
        return awaitsReport || timers.nanoTime() - commandsAllowedAfterNanos < 0;
    }
}
