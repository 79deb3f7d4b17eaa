package org.balsambank.core.target;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.team.TokenBucket;

/**
 * What one start of an owned target has said of itself in its responses: that it leaves, for how long it wants no
 * requests, how many requests a second it takes.
 *
 * <p>All requests of all VMs pass the owner, so its bucket holds for the fleet. Confined to the decision loop.
 */
final class OwnedTargetMarks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_LOGGED_CHARS = 40;

    private final TargetId target;
    private LeavingMark leaving = LeavingMark.NONE;
    private PauseMark pause = PauseMark.NONE;
    private LimitBelief belief = LimitBelief.UNKNOWN;
    private Optional<TokenBucket> bucket = Optional.empty();
    private String unreadable = "";

    /**
     * Creates the marks of a target that has said nothing.
     *
     * @param target the target
     */
    OwnedTargetMarks(final TargetId target) {
        this.target = target;
    }

    /**
     * Records what a response says.
     *
     * @param notice what the target says of itself
     * @param rejected whether it rejects the request, so that a time to come back is a pause
     * @param sentNanos when the request was sent, on the monotonic clock
     * @param nowNanos the current monotonic time
     */
    void record(final TargetNotice notice, final boolean rejected, final long sentNanos, final long nowNanos) {
        if (notice.leaving() && !leaving.set()) {
            leaving = leaving.withNotice();
            LOGGER.atInfo().log("event=target_leaving target=%s", target);
        }
        if (rejected) {
            notice.retryAfter().flatMap(PauseMark::parse).ifPresent(wanted -> recordPause(wanted, nowNanos));
        }
        recordLimit(notice.requestsPerSecond(), sentNanos, nowNanos);
    }

    private void recordPause(final Duration wanted, final long nowNanos) {
        final PauseMark previous = pause;
        pause = pause.withPause(nowNanos, wanted);
        if (!pause.equals(previous)) {
            LOGGER.atInfo().log("event=target_paused target=%s pause_ms=%d", target, wanted.toMillis());
        }
    }

    private void recordLimit(final List<String> values, final long sentNanos, final long nowNanos) {
        logUnreadable(values);
        final Optional<LimitBelief> believed =
                TargetLimit.parse(values).flatMap(named -> belief.afterResponse(named, sentNanos, nowNanos));
        if (believed.isEmpty()) {
            return;
        }
        final boolean changed = believed.get().number() != belief.number();
        belief = believed.get();
        if (changed) {
            limitChanged(nowNanos);
        }
    }

    /** Logs limits that can't be read, once for each text. */
    private void logUnreadable(final List<String> values) {
        if (TargetLimit.allReadable(values)) {
            return;
        }
        final String text = String.join(",", values);
        final String logged = text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS));
        if (!logged.equals(unreadable)) {
            unreadable = logged;
            LOGGER.atWarning().log("event=target_limit_ignored target=%s value=%s", target, logged);
        }
    }

    private void limitChanged(final long nowNanos) {
        LOGGER.atInfo().log(
                "event=target_limited target=%s per_second=%s",
                target, belief.limit().perSecond());
        if (!belief.limit().limited()) {
            bucket = Optional.empty();
        } else if (bucket.isPresent()) {
            bucket.get().replaceLimit(belief.limit().rate(), nowNanos);
        } else {
            bucket = Optional.of(new TokenBucket(belief.limit().rate(), 0, nowNanos));
        }
    }

    /** Forgets everything, as the target has started anew. */
    void restarted() {
        leaving = leaving.afterAnnouncement(true);
        pause = pause.afterAnnouncement(true);
        belief = LimitBelief.UNKNOWN;
        bucket = Optional.empty();
    }

    /** Returns whether the target leaves, so that it takes no more requests. */
    boolean leaving() {
        return leaving.set();
    }

    /**
     * Returns whether the target takes one more request now.
     *
     * @param inUse the requests that run there
     * @param slots the requests that it can run at once
     * @param nowNanos the current monotonic time
     * @return false in a pause, or if its limit is reached
     */
    boolean admits(final int inUse, final int slots, final long nowNanos) {
        return inUse < pause.maxInFlight(nowNanos, slots)
                && bucket.map(tokens -> tokens.level(nowNanos) >= 1).orElse(true);
    }

    /** Records that a request is sent. */
    void sent(final long nowNanos) {
        bucket.ifPresent(tokens -> tokens.take(1, nowNanos));
    }

    /**
     * Returns how long a request waits at least until the target takes it.
     *
     * @param queued the requests before it
     * @param nowNanos the current monotonic time
     * @return the time, zero without a pause or limit
     */
    Duration untilAdmitted(final int queued, final long nowNanos) {
        final Duration turn =
                bucket.map(tokens -> turn(tokens, queued, nowNanos)).orElse(Duration.ZERO);
        final Duration paused = pause.remaining(nowNanos);
        return paused.compareTo(turn) > 0 ? paused : turn;
    }

    private static Duration turn(final TokenBucket tokens, final int queued, final long nowNanos) {
        final double missing = queued + 1 - tokens.level(nowNanos);
        return Duration.ofNanos((long) (Math.max(0, missing) / tokens.limit().perSecond() * NANOS_PER_SECOND));
    }
}
