package org.balsambank.core.partition;

import java.time.Duration;
import java.util.function.Consumer;

import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.time.TimerService;

/**
 * The newest assignment that this VM has received.
 *
 * <p>Confined to the decision loop. Invariant: neither the version nor the epoch of a partition ever decreases.
 */
final class AdoptedAssignment {
    private final VmId self;
    private final String boot;
    private final TimerService timer;
    private final InvariantMonitor invariants;
    private final Consumer<StoredAssignment> onAdopted;
    private StoredAssignment current;
    private long adoptedAtNanos;
    private long writes;

    /**
     * Creates a holder of an assignment without owners.
     *
     * @param self this VM's process
     * @param partitions the number of partitions
     * @param timer the clock and timers
     * @param invariants checks that epochs do not decrease
     * @param onAdopted called with each newer assignment after it was adopted
     */
    AdoptedAssignment(
            final Voter self,
            final int partitions,
            final TimerService timer,
            final InvariantMonitor invariants,
            final Consumer<StoredAssignment> onAdopted) {
        this.self = self.vm();
        this.boot = self.boot();
        this.timer = timer;
        this.invariants = invariants;
        this.onAdopted = onAdopted;
        current = new StoredAssignment(Assignment.empty(partitions), 0);
        adoptedAtNanos = timer.nanoTime();
    }

    /**
     * Adopts an assignment if its version is higher than the current one.
     *
     * @param next the assignment
     */
    void adoptIfNewer(final StoredAssignment next) {
        if (next.assignment().version() <= current.assignment().version()) {
            return;
        }
        checkEpochs(next.assignment());
        current = next;
        adoptedAtNanos = timer.nanoTime();
        onAdopted.accept(next);
    }

    /**
     * Returns the adopted assignment with its revision.
     *
     * @return the newest assignment
     */
    StoredAssignment stored() {
        return current;
    }

    /**
     * Returns the adopted assignment.
     *
     * @return the newest assignment
     */
    Assignment assignment() {
        return current.assignment();
    }

    /**
     * Returns the time since the assignment was adopted.
     *
     * @return the age
     */
    Duration age() {
        return Duration.ofNanos(timer.nanoTime() - adoptedAtNanos);
    }

    /**
     * Creates the id of a write attempt.
     *
     * @return an id that is unique in the fleet
     */
    String nextWriteId() {
        writes++;
        return self + "/" + boot + "/" + writes;
    }

    private void checkEpochs(final Assignment next) {
        final int partitions = Math.min(
                current.assignment().partitions().size(), next.partitions().size());
        for (int i = 0; i < partitions; i++) {
            final PartitionState before = current.assignment().partitions().get(i);
            final PartitionState after = next.partitions().get(i);
            final int partition = i;
            invariants.check(
                    before.epoch().compareTo(after.epoch()) <= 0,
                    Invariant.EPOCH_MONOTONE,
                    () -> "partition=" + partition + " before=" + before.epoch() + " after=" + after.epoch());
        }
    }
}
