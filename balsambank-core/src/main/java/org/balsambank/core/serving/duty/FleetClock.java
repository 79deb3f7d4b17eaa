package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.balsambank.core.id.VmId;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.ClockSample;

/**
 * Estimates the true time, in agreement with the other VMs.
 *
 * <p>The estimate runs on the monotonic clock. A VM starts from the median of the estimates of others, or of all wall
 * clocks if there are none. After that it follows the median of the estimates, and slowly the median of the wall
 * clocks, so that a step of some clocks, or of most of them for a while, hardly moves it. When the wall clock and the
 * monotonic clock of this VM diverge, it was suspended or its wall clock was stepped; as it cannot tell which, its
 * estimate is void until others have reported theirs.
 *
 * <p>Confined to the decision loop.
 */
public final class FleetClock {
    private static final int MAX_SAMPLES = 12;
    private static final int MAX_VMS = 10_000;
    private static final long SAME_MILLIS = 15;
    private static final long DIVERGENCE_MILLIS = 150;
    /** How long a VM without an estimate waits for the clocks of others. */
    private static final long SETTLE_NANOS = Duration.ofMillis(1_500).toNanos();
    /** An estimate that is further from the median of the estimates is replaced by it. */
    private static final double MAX_DISAGREEMENT_MILLIS = 250;
    /** An estimate that is further from the median of the wall clocks is replaced by it after a time. */
    private static final double MAX_WALL_ERROR_MILLIS = 500;

    private static final long WALL_ERROR_NANOS = Duration.ofSeconds(60).toNanos();
    private static final long NEVER = Long.MIN_VALUE;
    private static final double MAX_SLEW_PER_SECOND_MILLIS = 5;
    private static final double SHARE_PER_SECOND = 0.5;

    private final TimerService timer;
    private final LongSupplier wallMillis;
    private final Map<VmId, List<Sample>> received = new HashMap<>();
    private boolean synchronizedWithOthers;
    private double offsetMillis;
    private long unsureSinceNanos;
    private double checkedOffsetMillis;
    private long adjustedNanos;
    private long wallErrorSinceNanos = NEVER;

    /**
     * Creates a clock without an estimate.
     *
     * @param timer supplies the monotonic time
     * @param wallMillis supplies the wall clock time in milliseconds
     */
    public FleetClock(final TimerService timer, final LongSupplier wallMillis) {
        this.timer = Objects.requireNonNull(timer);
        this.wallMillis = Objects.requireNonNull(wallMillis);
        unsureSinceNanos = timer.nanoTime();
        adjustedNanos = unsureSinceNanos;
        checkedOffsetMillis = wallOffset();
    }

    /**
     * Returns whether there is an estimate; checks this VM's clocks first.
     *
     * @return false at first, and after this VM's clocks have diverged
     */
    public boolean known() {
        final double wallOffset = wallOffset();
        if (Math.abs(wallOffset - checkedOffsetMillis) > DIVERGENCE_MILLIS) {
            synchronizedWithOthers = false;
            unsureSinceNanos = timer.nanoTime();
            received.clear();
        }
        checkedOffsetMillis = wallOffset;
        return synchronizedWithOthers;
    }

    /**
     * Returns the true time at a reading of the monotonic clock. Call only if {@link #known()}.
     *
     * @param nanos the monotonic time
     * @return milliseconds since the start of 1970
     */
    public long millisAt(final long nanos) {
        return Math.round(monotonicMillis(nanos) + offsetMillis);
    }

    /**
     * Returns the true time. Call only if {@link #known()}.
     *
     * @return milliseconds since the start of 1970
     */
    public long millis() {
        return millisAt(timer.nanoTime());
    }

    /** Adjusts the estimate to the clocks of all VMs. Call several times a second. */
    public void adjust() {
        final boolean known = known();
        final long now = timer.nanoTime();
        final double seconds = (now - adjustedNanos) / 1e9;
        adjustedNanos = now;
        if (!known) {
            synchronize(now);
            return;
        }
        final double estimates = median(samples(Set.of(), Sample::estimate));
        final double wallClocks = median(samples(Set.of(), sample -> !sample.estimate));
        if (estimatesAreWrong(wallClocks - estimates, now)) {
            offsetMillis = wallClocks;
            return;
        }
        final double disagreement = estimates - offsetMillis;
        final boolean close = Math.abs(disagreement) <= MAX_DISAGREEMENT_MILLIS;
        offsetMillis += close ? disagreement * Math.min(1, seconds * SHARE_PER_SECOND) : disagreement;
        final double limit = seconds * MAX_SLEW_PER_SECOND_MILLIS;
        offsetMillis += Math.max(-limit, Math.min(limit, wallClocks - offsetMillis));
    }

    /** Returns whether the wall clocks have differed from the estimates for so long that no step explains it. */
    private boolean estimatesAreWrong(final double error, final long now) {
        if (Math.abs(error) <= MAX_WALL_ERROR_MILLIS) {
            wallErrorSinceNanos = NEVER;
        } else if (wallErrorSinceNanos == NEVER) {
            wallErrorSinceNanos = now;
        }
        return wallErrorSinceNanos != NEVER && now - wallErrorSinceNanos > WALL_ERROR_NANOS;
    }

    private void synchronize(final long now) {
        final List<Sample> estimates = samples(Set.of(), Sample::estimate);
        if (!estimates.isEmpty()) {
            offsetMillis = median(estimates);
            synchronizedWithOthers = true;
        } else if (now - unsureSinceNanos >= SETTLE_NANOS) {
            offsetMillis = median(samples(Set.of(), sample -> !sample.estimate));
            synchronizedWithOthers = true;
        }
        wallErrorSinceNanos = NEVER;
    }

    /**
     * Returns the clocks of this VM and of those behind some edges of the tree.
     *
     * @param excluded the VMs at the other ends of the edges that are left out
     * @return a bounded number of samples
     */
    public List<ClockSample> report(final Set<VmId> excluded) {
        known();
        final double nowMillis = monotonicMillis(timer.nanoTime());
        final List<ClockSample> result = new ArrayList<>();
        for (final Sample sample : samples(excluded, any -> true)) {
            result.add(ClockSample.newBuilder()
                    .setMillis(Math.max(0, Math.round(nowMillis + sample.offset)))
                    .setVms(sample.vms)
                    .setEstimate(sample.estimate)
                    .build());
        }
        return result;
    }

    /**
     * Replaces the clocks behind an edge of the tree.
     *
     * @param other the VM at the other end
     * @param samples the clocks on its side
     */
    public void receive(final VmId other, final List<ClockSample> samples) {
        known();
        final double nowMillis = monotonicMillis(timer.nanoTime());
        final List<Sample> decoded = new ArrayList<>();
        for (final ClockSample sample : samples.subList(0, Math.min(2 * MAX_SAMPLES, samples.size()))) {
            if (sample.getMillis() > 0 && sample.getVms() > 0 && sample.getVms() <= MAX_VMS) {
                decoded.add(new Sample(sample.getMillis() - nowMillis, sample.getVms(), sample.getEstimate()));
            }
        }
        received.put(other, decoded);
    }

    /**
     * Forgets the clocks behind an edge of the tree.
     *
     * @param other the VM at its other end
     */
    public void remove(final VmId other) {
        received.remove(other);
    }

    private List<Sample> samples(final Set<VmId> excluded, final Predicate<Sample> wanted) {
        final List<Sample> all = new ArrayList<>();
        all.add(new Sample(wallOffset(), 1, false));
        if (synchronizedWithOthers) {
            all.add(new Sample(offsetMillis, 1, true));
        }
        received.forEach((vm, samples) -> {
            if (!excluded.contains(vm)) {
                all.addAll(samples);
            }
        });
        final List<Sample> result = new ArrayList<>();
        result.addAll(merged(
                all.stream().filter(each -> each.estimate && wanted.test(each)).toList()));
        result.addAll(merged(
                all.stream().filter(each -> !each.estimate && wanted.test(each)).toList()));
        return result;
    }

    /** Merges samples that are close to each other, and the closest ones while there are too many. */
    private static List<Sample> merged(final List<Sample> samples) {
        final List<Sample> sorted = new ArrayList<>(samples);
        sorted.sort(Comparator.comparingDouble(Sample::offset));
        while (sorted.size() > 1) {
            int closest = 0;
            for (int i = 1; i < sorted.size() - 1; i++) {
                if (gap(sorted, i) < gap(sorted, closest)) {
                    closest = i;
                }
            }
            if (gap(sorted, closest) > SAME_MILLIS && sorted.size() <= MAX_SAMPLES) {
                return sorted;
            }
            sorted.set(closest, sorted.get(closest).mergedWith(sorted.remove(closest + 1)));
        }
        return sorted;
    }

    private static double gap(final List<Sample> sorted, final int index) {
        return sorted.get(index + 1).offset - sorted.get(index).offset;
    }

    /** Returns the median offset of samples that are ordered by offset, at least one. */
    private static double median(final List<Sample> sorted) {
        final long total = sorted.stream().mapToLong(Sample::vms).sum();
        long before = 0;
        for (final Sample sample : sorted) {
            before += sample.vms;
            if (2 * before >= total) {
                return sample.offset;
            }
        }
        throw new IllegalStateException("no samples");
    }

    private double wallOffset() {
        return wallMillis.getAsLong() - monotonicMillis(timer.nanoTime());
    }

    private static double monotonicMillis(final long nanos) {
        return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** The clocks of some VMs, as the difference from this VM's monotonic clock. Immutable and thread-safe. */
    private record Sample(double offset, int vms, boolean estimate) {
        Sample mergedWith(final Sample other) {
            final int sum = vms + other.vms;
            return new Sample((offset * vms + other.offset * other.vms) / sum, sum, estimate);
        }
    }
}
