package org.balsambank.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.balsambank.core.log.DecisionLog;

/**
 * Records how late the decision loop is: what arrives on its sockets meanwhile, such as the close of a caller's
 * connection, is noticed as late.
 *
 * <p>Confined to the decision loop.
 */
final class LoopLateness {
    private static final Duration MIN_LOGGED = Duration.ofMillis(250);

    private final Timer timer;
    private final DecisionLog log;
    private long loggedAtNanos;
    private boolean logged;

    /**
     * Creates the meter.
     *
     * @param registry the registry in which it is registered
     * @param log gets one line for each time that the loop is late by 250 ms or more
     */
    LoopLateness(final MeterRegistry registry, final DecisionLog log) {
        this.log = Objects.requireNonNull(log);
        timer = Timer.builder("balsambank.serving.loop.late")
                .serviceLevelObjectives(
                        Duration.ofMillis(10), Duration.ofMillis(50), MIN_LOGGED, Duration.ofMillis(500))
                .register(registry);
    }

    /**
     * Records that a timer fired.
     *
     * @param lateNanos how late it fired, in nanoseconds
     * @param nowNanos the monotonic time
     */
    void timerFired(final long lateNanos, final long nowNanos) {
        timer.record(lateNanos, TimeUnit.NANOSECONDS);
        if (lateNanos < MIN_LOGGED.toNanos() || alreadyLogged(lateNanos, nowNanos)) {
            return;
        }
        logged = true;
        loggedAtNanos = nowNanos;
        log.line("loop_late")
                .with("late_ms", TimeUnit.NANOSECONDS.toMillis(lateNanos))
                .write();
    }

    /** Returns whether the timer was due before the last logged line, and so late for the same reason. */
    private boolean alreadyLogged(final long lateNanos, final long nowNanos) {
        return logged && nowNanos - lateNanos < loggedAtNanos;
    }
}
