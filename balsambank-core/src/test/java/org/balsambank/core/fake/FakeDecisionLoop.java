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
 * The decision loop of one VM in virtual time. It can be paused, as a stopped process is, and killed.
 *
 * <p>Confined to one thread. The clock goes on while the loop is paused.
 */
public final class FakeDecisionLoop extends Scheduler {
    private final TestScheduler clock;
    private final Queue<Runnable> held = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    public FakeDecisionLoop(final TestScheduler clock) {
        this.clock = clock;
    }

    public TimerService timer() {
        return timer(1.0);
    }

    /** Returns a timer whose clock runs faster or slower than that of the service. */
    public TimerService timer(final double rate) {
        return new SchedulerTimerService(this, () -> (long) (clock.now(TimeUnit.NANOSECONDS) * rate));
    }

    /** Holds all tasks until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Runs what was held, in order. */
    public void resume() {
        paused = false;
        for (Runnable task = held.poll(); task != null; task = held.poll()) {
            run(task);
        }
    }

    /** Drops all tasks, now and later. */
    public void kill() {
        killed = true;
        held.clear();
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
                // A periodic task that was held asks for a delay below zero, which would turn the virtual clock back.
                return worker.schedule(() -> run(guarded(task, worker)), Math.max(0, delay), unit);
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

    private static Runnable guarded(final Runnable task, final Worker worker) {
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
            held.add(task);
        } else {
            task.run();
        }
    }
}
