package org.balsambank.core.partition;

import java.time.Duration;
import java.util.function.Consumer;

import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.time.TimerService;

/**
 * The newest assignment that this VM has learned of.
 *
 * <p>Confined to the decision loop. Invariant: the version never goes down, nor does the epoch of a partition.
 */
final class AdoptedAssignment {
    private final VmId self;
    private final String boot;
    private final TimerService timer;
    private final InvariantMonitor invariants;
    private final Consumer<StoredAssignment> adopted;
    private StoredAssignment current;
    private long adoptedAtNanos;
    private long writes;

    /**
     * Starts with an assignment without owners.
     *
     * @param self this process
     * @param partitions the number of partitions
     * @param timer gives the time
     * @param invariants asserts that epochs do not go down
     * @param adopted runs after each newer assignment
     */
    AdoptedAssignment(
            final Voter self,
            final int partitions,
            final TimerService timer,
            final InvariantMonitor invariants,
            final Consumer<StoredAssignment> adopted) {
        this.self = self.vm();
        this.boot = self.boot();
        this.timer = timer;
        this.invariants = invariants;
        this.adopted = adopted;
        current = new StoredAssignment(Assignment.empty(partitions), 0);
        adoptedAtNanos = timer.nanoTime();
    }

    /**
     * Takes over an assignment if it is newer.
     *
     * @param next the assignment
     */
    void offer(final StoredAssignment next) {
        if (next.assignment().version() <= current.assignment().version()) {
            return;
        }
        checkEpochs(next.assignment());
        current = next;
        adoptedAtNanos = timer.nanoTime();
        adopted.accept(next);
    }

    /**
     * Returns the assignment with its revision.
     *
     * @return the newest one
     */
    StoredAssignment stored() {
        return current;
    }

    /**
     * Returns the assignment.
     *
     * @return the newest one
     */
    Assignment assignment() {
        return current.assignment();
    }

    /**
     * Tells for how long it has been the newest one.
     *
     * @return the time since it was adopted
     */
    Duration age() {
        return Duration.ofNanos(timer.nanoTime() - adoptedAtNanos);
    }

    /**
     * Creates the id of an attempt to write.
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
