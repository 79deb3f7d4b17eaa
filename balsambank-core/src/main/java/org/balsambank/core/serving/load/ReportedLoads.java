package org.balsambank.core.serving.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * The newest load that each target has reported.
 *
 * <p>Invariant: a report of a start of a target that is not the announced one changes nothing, and the report of a
 * target is never replaced by one that is known to be older. Confined to the decision loop.
 */
public final class ReportedLoads {
    /** A service is active while one of its targets has reported its pace within this time. */
    private static final long ACTIVE_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Responses overtake each other by a few milliseconds. While a report is younger than this, a response to a request
     * that was sent earlier does not replace it. Later it does: a response to a long prompt is written long after the
     * request was sent.
     */
    private static final long REORDERING_NANOS = Duration.ofMillis(50).toNanos();

    /**
     * The age of a report does not count its way between VMs. Without this margin, a report that VMs send each other
     * would look newer with each message.
     */
    private static final long TRANSIT_NANOS = Duration.ofMillis(20).toNanos();

    /** A report is passed on if the pace has changed by this factor, which is less than a step to 2.5 times 100. */
    private static final double PACE_STEP = 1.2;

    /** While a target is slow or has a queue, a report is passed on this often, as it says less the older it is. */
    private static final long REPEAT_NANOS = Duration.ofMillis(300).toNanos();

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long RECENT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final ServerLoad USUAL = new ServerLoad(0, 0, 1, OptionalInt.of(ServerLoad.USUAL_PACE));

    private final TargetTable targets;
    private final TimerService timer;
    private final Map<TargetId, Known> known = new HashMap<>();
    private final Map<ServiceName, Long> paceHeardNanos = new HashMap<>();
    private final Map<TargetId, Known> passedOn = new HashMap<>();
    private final Set<TargetId> changed = new HashSet<>();

    /**
     * Creates an instance without reports.
     *
     * @param targets the known targets
     * @param timer the timer service
     */
    public ReportedLoads(final TargetTable targets, final TimerService timer) {
        this.targets = Objects.requireNonNull(targets);
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Records the load that a response reports.
     *
     * @param target the start of the target that has responded
     * @param load the load
     * @param sentNanos when the request was sent, on the monotonic clock
     * @return false if the start is not the announced one or the response was overtaken by a newer one
     */
    public boolean record(final TargetAnnouncement target, final ServerLoad load, final long sentNanos) {
        final TargetStart start = TargetStart.of(target);
        final long now = timer.nanoTime();
        final Known previous = known.get(start.target());
        final boolean overtaken = previous != null
                && previous.start.equals(start)
                && sentNanos - previous.sentNanos < 0
                && now - previous.heardNanos < REORDERING_NANOS;
        if (overtaken || !put(start, load, sentNanos, now)) {
            return false;
        }
        if (saysSomethingNew(start.target())) {
            changed.add(start.target());
        }
        return true;
    }

    /**
     * Records a report of another VM.
     *
     * @param report the report
     * @return true if it says something new; if so, the caller passes it on to the other VMs
     */
    public boolean recordReport(final LoadReport report) {
        final long heardNanos = timer.nanoTime() - report.age().toNanos();
        final Known previous = known.get(report.start().target());
        if (previous != null
                && previous.start.equals(report.start())
                && heardNanos - previous.heardNanos <= TRANSIT_NANOS) {
            return false;
        }
        return put(report.start(), report.load(), heardNanos, heardNanos)
                && saysSomethingNew(report.start().target());
    }

    private boolean put(final TargetStart start, final ServerLoad load, final long sentNanos, final long heardNanos) {
        final Optional<TargetAnnouncement> announced = announced(start);
        if (announced.isEmpty()) {
            return false;
        }
        if (known.put(start.target(), new Known(start, load, sentNanos, heardNanos)) == null) {
            removeForgottenTargets();
        }
        if (load.pace().isPresent()) {
            paceHeardNanos.merge(announced.get().service(), heardNanos, (one, other) -> one - other < 0 ? other : one);
        }
        return true;
    }

    /**
     * Returns whether the report of a target must be passed on, and records it as passed on if so. Targets that report
     * no pace are not passed on, as nothing uses their reports.
     */
    private boolean saysSomethingNew(final TargetId target) {
        final Known current = known.get(target);
        if (current.load.pace().isEmpty()) {
            return false;
        }
        final Known previous = passedOn.get(target);
        final boolean isNew = previous == null
                || !previous.start.equals(current.start)
                || differs(previous.load, current.load)
                || unusual(current.load) && current.heardNanos - previous.heardNanos >= REPEAT_NANOS;
        if (isNew) {
            passedOn.put(target, current);
        }
        return isNew;
    }

    private static boolean differs(final ServerLoad previous, final ServerLoad current) {
        final double before = previous.pace().orElse(ServerLoad.USUAL_PACE);
        final double now = current.pace().orElse(ServerLoad.USUAL_PACE);
        return Math.max(before, now) >= PACE_STEP * Math.min(before, now)
                || (previous.waiting() == 0) != (current.waiting() == 0);
    }

    private static boolean unusual(final ServerLoad load) {
        return load.waiting() > 0 || differs(USUAL, load);
    }

    /**
     * Marks the report of a target as new, so that it is passed on to the other VMs.
     *
     * @param target the target
     */
    public void reportAnew(final TargetId target) {
        changed.add(target);
    }

    /**
     * Returns the targets that have reported something new in responses to this VM since the last call.
     *
     * @return the targets
     */
    public Set<TargetId> drainChanged() {
        final Set<TargetId> drained = Set.copyOf(changed);
        changed.clear();
        return drained;
    }

    /**
     * Returns the targets whose reports a VM needs that knows none.
     *
     * @return the targets that have reported a pace lately
     */
    public Set<TargetId> recent() {
        final long now = timer.nanoTime();
        final Set<TargetId> recent = new HashSet<>();
        known.forEach((target, each) -> {
            if (each.load.pace().isPresent() && now - each.heardNanos <= RECENT_NANOS) {
                recent.add(target);
            }
        });
        return recent;
    }

    private Optional<TargetAnnouncement> announced(final TargetStart start) {
        return targets.find(start.target())
                .map(state -> state.announcement())
                .filter(announcement -> TargetStart.of(announcement).equals(start));
    }

    private void removeForgottenTargets() {
        known.keySet().removeIf(target -> targets.find(target).isEmpty());
        passedOn.keySet().retainAll(known.keySet());
    }

    /**
     * Returns the newest report of a target.
     *
     * @param target the target
     * @return the newest report of its announced start, whatever its age, or empty
     */
    public Optional<LoadReport> of(final TargetId target) {
        return Optional.ofNullable(known.get(target))
                .filter(each -> announced(each.start).isPresent())
                .map(each -> new LoadReport(each.start, each.load, age(each.heardNanos)));
    }

    /**
     * Returns whether the targets of a service report their pace.
     *
     * @param service the service
     * @return true if one of them has reported it within the last 10 s
     */
    public boolean active(final ServiceName service) {
        final Long heardNanos = paceHeardNanos.get(service);
        return heardNanos != null && timer.nanoTime() - heardNanos <= ACTIVE_NANOS;
    }

    /**
     * Returns the largest reported load of a target.
     *
     * @return requests that run or wait, per slot; 0 without reports
     */
    public double largestLoad() {
        return current().mapToDouble(ReportedLoads::perSlot).max().orElse(0);
    }

    /**
     * Returns the mean reported load of the targets.
     *
     * @return requests that run or wait, per slot; 0 without reports
     */
    public double meanLoad() {
        return current().mapToDouble(ReportedLoads::perSlot).average().orElse(0);
    }

    /**
     * Returns the mean age of the reports.
     *
     * @return the age in seconds, 0 without reports
     */
    public double meanAgeSeconds() {
        return current()
                .mapToDouble(each -> age(each.heardNanos).toMillis() / MILLIS_PER_SECOND)
                .average()
                .orElse(0);
    }

    private Stream<Known> current() {
        return known.values().stream().filter(each -> announced(each.start).isPresent());
    }

    private static double perSlot(final Known each) {
        return (double) (each.load.running() + each.load.waiting()) / each.load.slots();
    }

    private Duration age(final long heardNanos) {
        return Duration.ofNanos(Math.max(0, timer.nanoTime() - heardNanos));
    }

    /**
     * A report and its place in the order of reports.
     *
     * @param start the start of the target
     * @param load the load
     * @param sentNanos when the request was sent whose response carried it; for reports of other VMs, their hearing it
     * @param heardNanos when a VM received it, on this VM's monotonic clock
     */
    private record Known(TargetStart start, ServerLoad load, long sentNanos, long heardNanos) {}
}
