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
 * A fake network between VMs in virtual time with injected faults. Each VM has a {@link FakePeerTransport}.
 *
 * <p>Confined to one thread. The same seed gives the same delays and losses. Messages of different calls may overtake
 * each other; the items of one response keep their order. A lost message fails its call after {@link #SILENCE}.
 */
public final class FakePeerNetwork {
    /** How long a call survives without contact between its VMs. */
    static final Duration SILENCE = Duration.ofSeconds(2);

    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    private final TestScheduler clock;
    private final Random random;
    private final Map<VmId, FakePeerTransport> transports = new HashMap<>();
    private final Set<Pair> cuts = new HashSet<>();
    private final Set<FakePeerCall<?>> inFlight = new LinkedHashSet<>();
    private long minDelayNanos = TimeUnit.MICROSECONDS.toNanos(500);
    private long maxDelayNanos = TimeUnit.MILLISECONDS.toNanos(2);
    private double lossRate;

    public FakePeerNetwork(final TestScheduler clock, final long seed) {
        this.clock = clock;
        this.random = new Random(seed);
        clock.schedulePeriodicallyDirect(
                () -> List.copyOf(inFlight).forEach(FakePeerCall::probe),
                PROBE_PERIOD.toNanos(),
                PROBE_PERIOD.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /** Adds a VM, or replaces it after a restart. */
    public FakePeerTransport join(final VmId vm, final FakeDecisionLoop loop) {
        final FakePeerTransport transport = new FakePeerTransport(this, vm, loop);
        transports.put(vm, transport);
        return transport;
    }

    /** Sets the range of the delay of each message. */
    public void delay(final Duration min, final Duration max) {
        minDelayNanos = min.toNanos();
        maxDelayNanos = max.toNanos();
    }

    /** Sets the fraction of messages that are lost. */
    public void messageLossRate(final double share) {
        lossRate = share;
    }

    /** Disconnects two VMs from each other, or reconnects them. */
    public void cut(final VmId a, final VmId b, final boolean value) {
        if (value) {
            cuts.add(new Pair(a, b));
            cuts.add(new Pair(b, a));
        } else {
            cuts.remove(new Pair(a, b));
            cuts.remove(new Pair(b, a));
        }
    }

    /** Disconnects one VM from all others, or reconnects it. */
    public void cutOff(final VmId vm, final boolean value) {
        transports.keySet().stream().filter(other -> !other.equals(vm)).forEach(other -> cut(vm, other, value));
    }

    FakePeerTransport transport(final VmId vm) {
        final FakePeerTransport transport = transports.get(vm);
        return transport == null || transport.loop().killed() ? null : transport;
    }

    void callStarted(final FakePeerCall<?> call) {
        inFlight.add(call);
    }

    void callEnded(final FakePeerCall<?> call) {
        inFlight.remove(call);
    }

    boolean reachable(final VmId from, final VmId to) {
        return !cuts.contains(new Pair(from, to));
    }

    boolean passes(final VmId from, final VmId to) {
        return reachable(from, to) && random.nextDouble() >= lossRate;
    }

    long nextDelayNanos() {
        return minDelayNanos + (long) (random.nextDouble() * (maxDelayNanos - minDelayNanos));
    }

    TestScheduler clock() {
        return clock;
    }

    /** The direction from one VM to another. */
    private record Pair(VmId from, VmId to) {}
}
