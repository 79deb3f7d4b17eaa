package org.balsambank.core.serving.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;

/**
 * The limits that targets have named in their responses.
 *
 * <p>Responses may overtake each other. A lower limit is therefore believed at once, a higher one or the end of a limit
 * only if the request was sent after the last response that named the lower one. Confined to the decision loop.
 */
public final class TargetLimits {
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();
    private static final int MAX_LOGGED_CHARS = 40;
    private static final double THOUSANDTHS = 1e3;

    private final TargetTable targets;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetStart, Belief> beliefs = new LinkedHashMap<>();
    private final Map<TargetId, String> unreadable = new HashMap<>();

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
        final Belief previous = beliefs.getOrDefault(start, Belief.UNKNOWN);
        final long now = timer.nanoTime();
        if (named.get().equals(previous.limit)) {
            beliefs.computeIfPresent(start, (key, belief) -> belief.heardAt(now));
            return false;
        }
        if (!named.get().stricterThan(previous.limit) && sentNanos - previous.heardNanos < 0) {
            return false;
        }
        removeOld(now);
        beliefs.put(start, new Belief(named.get(), now));
        logChange(start, named.get(), request.value());
        return true;
    }

    /**
     * Returns the limit of a target.
     *
     * @param target the target
     * @return the limit that its current start has named last
     */
    public TargetLimit of(final TargetId target) {
        return targets.find(target)
                .map(state -> beliefs.get(TargetStart.of(state.announcement())))
                .map(belief -> belief.limit)
                .orElse(TargetLimit.NONE);
    }

    /**
     * Returns the number of targets that limit their requests.
     *
     * @return the targets whose current start has named a limit
     */
    public long limitedTargets() {
        return beliefs.entrySet().stream()
                .filter(each -> each.getValue().limit.limited() && isCurrent(each.getKey()))
                .count();
    }

    private boolean isCurrent(final TargetStart start) {
        return targets.find(start.target())
                .filter(state -> TargetStart.of(state.announcement()).equals(start))
                .isPresent();
    }

    private void removeOld(final long now) {
        beliefs.entrySet()
                .removeIf(each -> !isCurrent(each.getKey()) && now - each.getValue().heardNanos > RETENTION_NANOS);
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
     * What is believed of one start of a target.
     *
     * @param limit the limit
     * @param heardNanos when this VM last heard of it, on the monotonic clock
     */
    private record Belief(TargetLimit limit, long heardNanos) {
        private static final Belief UNKNOWN = new Belief(TargetLimit.NONE, Long.MIN_VALUE / 2);

        private Belief heardAt(final long nanos) {
            return new Belief(limit, nanos);
        }
    }
}
