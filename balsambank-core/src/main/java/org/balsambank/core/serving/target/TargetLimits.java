package org.balsambank.core.serving.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.target.LimitBelief;
import org.balsambank.core.target.TargetLimit;
import org.balsambank.core.time.TimerService;

/**
 * The limits that targets have named in their responses.
 *
 * <p>VMs tell each other of changes. Each change that a VM hears from a target gets a number above that of the change
 * before; of two changes with the same number, the lower limit is believed. Confined to the decision loop.
 */
public final class TargetLimits {
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();
    private static final int MAX_LOGGED_CHARS = 40;
    private static final double THOUSANDTHS = 1e3;

    private final TargetTable targets;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetStart, LimitBelief> beliefs = new LinkedHashMap<>();
    private final Map<TargetId, String> unreadable = new HashMap<>();
    private final Set<TargetStart> changed = new HashSet<>();

    /**
     * Creates an instance without limits.
     *
     * @param targets the known targets
     * @param timer the timer service
     * @param log the decision log; gets a line for each limit that begins, changes or ends
     */
    public TargetLimits(final TargetTable targets, final TimerService timer, final DecisionLog log) {
        this.targets = Objects.requireNonNull(targets);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Records what a response says.
     *
     * @param target the start of the target that has responded
     * @param values the limits that the response names, as the target has written them
     * @param sentNanos when the request was sent, on the monotonic clock
     * @param request the request
     * @return true if the limit of the target has changed
     */
    public boolean recordNotice(
            final TargetAnnouncement target, final List<String> values, final long sentNanos, final RequestId request) {
        if (!TargetLimit.allReadable(values)) {
            logUnreadable(target, String.join(",", values), request);
        }
        final Optional<TargetLimit> named = TargetLimit.parse(values);
        final TargetStart start = TargetStart.of(target);
        if (named.isEmpty() || !isCurrent(start)) {
            return false;
        }
        final LimitBelief previous = belief(start);
        final Optional<LimitBelief> believed = previous.afterResponse(named.get(), sentNanos, timer.nanoTime());
        if (believed.isEmpty() || believed.get().number() == previous.number()) {
            believed.ifPresent(same -> beliefs.put(start, same));
            return false;
        }
        believe(start, believed.get(), request.value());
        changed.add(start);
        return true;
    }

    /**
     * Records what another VM knows of a limit.
     *
     * @param report the report
     * @param from the VM that has sent it
     * @return true if this VM did not know it; if so, the caller passes the report on to the other VMs
     */
    public boolean recordReport(final Report report, final VmId from) {
        final boolean newer = belief(report.start()).olderThan(report.limit(), report.number());
        if (newer) {
            believe(report.start(), new LimitBelief(report.limit(), report.number(), timer.nanoTime()), from.value());
        }
        return newer;
    }

    /** Marks a limit as changed, so that it is reported to the other VMs. */
    public void reportAnew(final TargetStart start) {
        changed.add(start);
    }

    /**
     * Returns the starts of targets whose limits have changed since the last call, other than by a report.
     *
     * @return the starts
     */
    public Set<TargetStart> drainChanged() {
        final Set<TargetStart> drained = new HashSet<>(changed);
        changed.clear();
        return drained;
    }

    /**
     * Returns the starts of targets that have named a limit once.
     *
     * @return the starts, those whose limit has ended included
     */
    public Set<TargetStart> starts() {
        return Set.copyOf(beliefs.keySet());
    }

    /**
     * Returns what to report to other VMs.
     *
     * @param start the start of a target
     * @return what this VM knows of its limit
     */
    public Report report(final TargetStart start) {
        final LimitBelief belief = belief(start);
        return new Report(start, belief.limit(), belief.number());
    }

    private void believe(final TargetStart start, final LimitBelief belief, final String source) {
        final boolean differs = !belief.limit().equals(of(start));
        removeOld(belief.heardNanos());
        beliefs.put(start, belief);
        if (differs) {
            logChange(start, belief.limit(), source);
        }
    }

    /**
     * Returns the limit of a target.
     *
     * @param target the target
     * @return the limit that its current start has named last
     */
    public TargetLimit of(final TargetId target) {
        return targets.find(target)
                .map(state -> of(TargetStart.of(state.announcement())))
                .orElse(TargetLimit.NONE);
    }

    /**
     * Returns the limit of one start of a target.
     *
     * @param start the start
     * @return the limit that it has named last
     */
    public TargetLimit of(final TargetStart start) {
        return belief(start).limit();
    }

    /**
     * Returns the number of targets that limit their requests.
     *
     * @return the targets whose current start has named a limit
     */
    public long limitedTargets() {
        return beliefs.entrySet().stream()
                .filter(each -> each.getValue().limit().limited() && isCurrent(each.getKey()))
                .count();
    }

    private LimitBelief belief(final TargetStart start) {
        return beliefs.getOrDefault(start, LimitBelief.UNKNOWN);
    }

    private boolean isCurrent(final TargetStart start) {
        return targets.find(start.target())
                .filter(state -> TargetStart.of(state.announcement()).equals(start))
                .isPresent();
    }

    private void removeOld(final long now) {
        beliefs.entrySet()
                .removeIf(each ->
                        !isCurrent(each.getKey()) && now - each.getValue().heardNanos() > RETENTION_NANOS);
        unreadable.keySet().removeIf(target -> targets.find(target).isEmpty());
    }

    private void logUnreadable(final TargetAnnouncement target, final String value, final RequestId request) {
        final String logged = value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARS));
        if (!logged.equals(unreadable.put(target.id(), logged))) {
            log.line("target_limit_ignored")
                    .with("target", target.id().value())
                    .with("request", request.value())
                    .with("value", logged)
                    .write();
        }
    }

    private void logChange(final TargetStart start, final TargetLimit limit, final String source) {
        final DecisionLog.Line line = log.line(limit.limited() ? "target_limited" : "target_limit_ended")
                .with("target", start.target().value())
                .with("started_ms", start.startedMillis())
                .with("source", source);
        if (limit.limited()) {
            line.with("per_1000_s", Math.round(limit.perSecond() * THOUSANDTHS));
        }
        line.write();
    }

    /**
     * What a VM knows of the limit of one start of a target.
     *
     * @param start the start of the target
     * @param limit the limit
     * @param number the number of the change that has brought it, 0 if there was none
     */
    public record Report(TargetStart start, TargetLimit limit, long number) {}
}
