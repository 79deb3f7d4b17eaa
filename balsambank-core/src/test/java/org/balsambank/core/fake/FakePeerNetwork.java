package org.balsambank.core.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.VmId;

/**
 * The network between VMs in virtual time, with its faults. Each VM has a {@link FakePeerTransport}.
 *
 * <p>Confined to one thread. The same seed gives the same delays and losses. Messages of different calls overtake each
 * other; items of one answer keep their order. A lost message breaks its call after the time that finds a silent link.
 */
public final class FakePeerNetwork {
    /** How long a silent link goes unnoticed. */
    static final Duration SILENCE = Duration.ofSeconds(2);

    private static final Duration PROBE = Duration.ofMillis(500);

    private final TestScheduler clock;
    private final Random random;
    private final Map<VmId, FakePeerTransport> links = new HashMap<>();
    private final Set<Pair> cuts = new HashSet<>();
    private final Set<FakePeerCall<?>> open = new LinkedHashSet<>();
    private long minDelayNanos = TimeUnit.MICROSECONDS.toNanos(500);
    private long maxDelayNanos = TimeUnit.MILLISECONDS.toNanos(2);
    private double messageLossRate;

    public FakePeerNetwork(final TestScheduler clock, final long seed) {
        this.clock = clock;
        this.random = new Random(seed);
        clock.schedulePeriodicallyDirect(
                () -> List.copyOf(open).forEach(FakePeerCall::probe),
                PROBE.toNanos(),
                PROBE.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /** Adds a VM, or replaces it after a restart. */
    public FakePeerTransport join(final VmId vm, final FakeDecisionLoop loop) {
        final FakePeerTransport link = new FakePeerTransport(this, vm, loop);
        links.put(vm, link);
        return link;
    }

    /** Sets the range of the delay of each message. */
    public void delay(final Duration min, final Duration max) {
        minDelayNanos = min.toNanos();
        maxDelayNanos = max.toNanos();
    }

    /** Sets the share of messages that are lost. */
    public void messageLossRate(final double share) {
        messageLossRate = share;
    }

    /** Cuts two VMs off each other, or joins them again. */
    public void cut(final VmId a, final VmId b, final boolean value) {
        if (value) {
            cuts.add(new Pair(a, b));
            cuts.add(new Pair(b, a));
        } else {
            cuts.remove(new Pair(a, b));
            cuts.remove(new Pair(b, a));
        }
    }

    /** Cuts one VM off all others, or joins it again. */
    public void cutOff(final VmId vm, final boolean value) {
        links.keySet().stream().filter(other -> !other.equals(vm)).forEach(other -> cut(vm, other, value));
    }

    FakePeerTransport link(final VmId vm) {
        final FakePeerTransport link = links.get(vm);
        return link == null || link.loop().killed() ? null : link;
    }

    void opened(final FakePeerCall<?> call) {
        open.add(call);
    }

    void ended(final FakePeerCall<?> call) {
        open.remove(call);
    }

    boolean reachable(final VmId from, final VmId to) {
        return !cuts.contains(new Pair(from, to));
    }

    boolean passes(final VmId from, final VmId to) {
        return reachable(from, to) && random.nextDouble() >= messageLossRate;
    }

    long nextDelayNanos() {
        return minDelayNanos + (long) (random.nextDouble() * (maxDelayNanos - minDelayNanos));
    }

    TestScheduler clock() {
        return clock;
    }

    /** A direction between two VMs. */
    private record Pair(VmId from, VmId to) {}
}
