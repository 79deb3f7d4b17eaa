package org.balsambank.core.time;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;

/**
 * Provides monotonic time and timers.
 *
 * <p>Signals arrive on the decision loop of the VM, one at a time. {@link #nanoTime()} is thread-safe.
 */
public interface TimerService {
    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Completes after a delay.
     *
     * @param delay the delay
     * @return completes when the delay has elapsed; the delay starts on subscription
     */
    Completable after(Duration delay);

    /**
     * Emits ticks at a fixed period. A tick is dropped if the subscriber has not requested it.
     *
     * @param period the period
     * @return the ticks, counted from zero
     */
    Flowable<Long> every(Duration period);

    /**
     * Returns the scheduler of the decision loop.
     *
     * @return the scheduler
     */
    Scheduler scheduler();
}
