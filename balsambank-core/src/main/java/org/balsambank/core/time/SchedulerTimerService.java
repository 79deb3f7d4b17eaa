package org.balsambank.core.time;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;

/**
 * A timer service backed by a real or virtual scheduler.
 *
 * <p>Thread-safe if the clock is. The clock must be monotonic.
 */
public final class SchedulerTimerService implements TimerService {
    private final Scheduler scheduler;
    private final LongSupplier clock;

    /**
     * Creates a timer service.
     *
     * @param scheduler delivers the signals
     * @param clock supplies the monotonic time in nanoseconds
     */
    public SchedulerTimerService(final Scheduler scheduler, final LongSupplier clock) {
        this.scheduler = Objects.requireNonNull(scheduler);
        this.clock = Objects.requireNonNull(clock);
    }

    /**
     * Creates a timer service that reads the time from its scheduler, for use with a virtual scheduler.
     *
     * @param scheduler delivers the signals
     * @return the timer service
     */
    public static SchedulerTimerService ofVirtual(final Scheduler scheduler) {
        return new SchedulerTimerService(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
    }

    @Override
    public long nanoTime() {
        return clock.getAsLong();
    }

    @Override
    public Completable after(final Duration delay) {
        return Completable.timer(delay.toNanos(), TimeUnit.NANOSECONDS, scheduler);
    }

    @Override
    public Flowable<Long> every(final Duration period) {
        return Flowable.interval(period.toNanos(), TimeUnit.NANOSECONDS, scheduler)
                .onBackpressureDrop();
    }

    @Override
    public Scheduler scheduler() {
        return scheduler;
    }
}
