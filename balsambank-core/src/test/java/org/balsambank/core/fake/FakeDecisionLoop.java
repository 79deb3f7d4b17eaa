package org.balsambank.core.fake;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * A fake decision loop of one VM in virtual time. It can be paused, like a suspended process, and killed.
 *
 * <p>Confined to one thread. The clock advances while the loop is paused.
 */
public final class FakeDecisionLoop extends Scheduler {
    private final TestScheduler clock;
    private final Queue<Runnable> deferred = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    public FakeDecisionLoop(final TestScheduler clock) {
        this.clock = clock;
    }

    public TimerService timer() {
        return timer(1.0);
    }

    /** Returns a timer whose clock runs at a multiple of the rate of the virtual clock. */
    public TimerService timer(final double rate) {
        return new SchedulerTimerService(this, () -> (long) (clock.now(TimeUnit.NANOSECONDS) * rate));
    }

    /** Defers all tasks until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Runs the deferred tasks in order. */
    public void resume() {
        paused = false;
        for (Runnable task = deferred.poll(); task != null; task = deferred.poll()) {
            run(task);
        }
    }

    /** Drops all deferred and future tasks. */
    public void kill() {
        killed = true;
        deferred.clear();
    }

    public boolean killed() {
        return killed;
    }

    public boolean paused() {
        return paused;
    }

    @Override
    public long now(final TimeUnit unit) {
        return clock.now(unit);
    }

    @Override
    public Worker createWorker() {
        final Worker worker = clock.createWorker();
        return new Worker() {
            @Override
            public Disposable schedule(final Runnable task, final long delay, final TimeUnit unit) {
                // A deferred periodic task requests a negative delay, which would move the virtual clock back.
                return worker.schedule(() -> run(unlessDisposed(task, worker)), Math.max(0, delay), unit);
            }

            @Override
            public long now(final TimeUnit unit) {
                return clock.now(unit);
            }

            @Override
            public void dispose() {
                worker.dispose();
            }

            @Override
            public boolean isDisposed() {
                return worker.isDisposed();
            }
        };
    }

    private static Runnable unlessDisposed(final Runnable task, final Worker worker) {
        return () -> {
            if (!worker.isDisposed()) {
                task.run();
            }
        };
    }

    private void run(final Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            deferred.add(task);
        } else {
            task.run();
        }
    }
}
