package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.fleet.DigestExtension;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.DutyState;

/**
 * Sends along the tree what duties need: rows of usage, clocks, offered loads and promised reports.
 *
 * <p>Rows go only over edges behind which a VM collects them, so that the traffic of a VM does not grow with the fleet,
 * apart from the VMs on the way to the collecting ones. Rows that came over an edge are sent back over it only after a
 * digest may have been lost, as its other end may have restarted. Invariant: the clocks and loads of both ends of an
 * edge are never counted twice. Confined to the decision loop.
 */
final class DutyExchange implements DigestExtension {
    private static final int MAX_ROWS_PER_DIGEST = 64;
    private static final long STATE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long CLOCK_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

    private final UsageTable usage;
    private final FleetClock clock;
    private final OfferedLoad offered;
    private final PromisedReports promises;
    private final BooleanSupplier collects;
    private final TimerService timer;
    private final Map<VmId, Edge> edges = new HashMap<>();

    /**
     * Creates an exchange without edges.
     *
     * @param usage the begun requests of all VMs
     * @param clock the true time
     * @param offered the offered loads
     * @param promises the promised reports
     * @param collects whether this VM wants the rows of all VMs
     * @param timer supplies the monotonic time
     */
    DutyExchange(
            final UsageTable usage,
            final FleetClock clock,
            final OfferedLoad offered,
            final PromisedReports promises,
            final BooleanSupplier collects,
            final TimerService timer) {
        this.usage = Objects.requireNonNull(usage);
        this.clock = Objects.requireNonNull(clock);
        this.offered = Objects.requireNonNull(offered);
        this.promises = Objects.requireNonNull(promises);
        this.collects = Objects.requireNonNull(collects);
        this.timer = Objects.requireNonNull(timer);
    }

    @Override
    public void add(final Digest.Builder digest, final VmId other, final Set<VmId> excluded, final boolean full) {
        final Edge edge = edges.computeIfAbsent(other, ignored -> new Edge(timer.nanoTime()));
        if (full) {
            edge.resendRows(usage.sequence());
            edge.sentPromises = 0;
        }
        if (edge.collects) {
            final UsageTable.Changes changes =
                    usage.changesAfter(edge.sentSequence, MAX_ROWS_PER_DIGEST, other, edge.resentUpTo);
            edge.sentSequence = changes.upTo();
            digest.addAllUsageRows(changes.rows());
        }
        final long now = timer.nanoTime();
        final boolean collecting = collectsBehind(other);
        final boolean synchronizedNow = clock.known();
        final boolean stateDue = now - edge.stateNanos >= STATE_INTERVAL_NANOS;
        final boolean changed = collecting != edge.sentCollects || synchronizedNow != edge.sentSynchronized;
        final boolean clockDue = !edge.synchronizedThere || now - edge.clockNanos >= CLOCK_INTERVAL_NANOS;
        if (!full && !stateDue && !changed && edge.synchronizedThere && edge.sentPromises == promises.changes()) {
            return;
        }
        final DutyState.Builder state =
                DutyState.newBuilder().setCollects(collecting).setSynchronized(synchronizedNow);
        state.addAllOffered(offered.report(excluded));
        if (full || clockDue) {
            state.addAllClocks(clock.report(excluded));
            edge.clockNanos = now;
        }
        if (edge.sentPromises != promises.changes()) {
            state.addAllPromises(promises.report());
            edge.sentPromises = promises.changes();
        }
        edge.stateNanos = now;
        edge.sentCollects = collecting;
        edge.sentSynchronized = synchronizedNow;
        digest.setDuty(state);
    }

    @Override
    public void received(final VmId other, final Digest digest) {
        digest.getUsageRowsList().forEach(row -> usage.raise(row, other));
        if (!digest.hasDuty()) {
            return;
        }
        final DutyState state = digest.getDuty();
        final Edge edge = edges.computeIfAbsent(other, ignored -> new Edge(timer.nanoTime()));
        if (state.getCollects() && !edge.collects) {
            edge.resendRows(usage.sequence());
        }
        edge.collects = state.getCollects();
        edge.synchronizedThere = state.getSynchronized();
        offered.receive(other, state.getOfferedList());
        if (state.getClocksCount() > 0) {
            clock.receive(other, state.getClocksList());
        }
        state.getPromisesList().forEach(promises::learned);
    }

    @Override
    public void edgeDropped(final VmId other) {
        edges.remove(other);
        clock.remove(other);
        offered.remove(other);
    }

    private boolean collectsBehind(final VmId other) {
        return collects.getAsBoolean()
                || edges.entrySet().stream().anyMatch(each -> !each.getKey().equals(other) && each.getValue().collects);
    }

    /** What was exchanged over an edge. */
    private static final class Edge {
        private boolean collects;
        private boolean synchronizedThere = true;
        private boolean sentCollects;
        private boolean sentSynchronized;
        private long sentSequence;
        private long resentUpTo;
        private long sentPromises;
        private long stateNanos;
        private long clockNanos;

        Edge(final long nowNanos) {
            stateNanos = nowNanos;
            clockNanos = nowNanos;
        }

        private void resendRows(final long upTo) {
            sentSequence = 0;
            resentUpTo = upTo;
        }
    }
}
