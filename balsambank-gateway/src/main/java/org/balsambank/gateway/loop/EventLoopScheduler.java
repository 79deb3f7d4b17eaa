package org.balsambank.gateway.loop;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * An RxJava scheduler that runs tasks in order on one Netty event loop, without threads of its own.
 *
 * <p>Immutable and thread-safe.
 */
final class EventLoopScheduler extends Scheduler {
    private final EventLoop loop;
    private final LongConsumer latenessNanos;

    /**
     * Creates a scheduler.
     *
     * @param loop the event loop that runs the tasks
     * @param latenessNanos receives, on the loop, how late each delayed task starts, in nanoseconds
     */
    EventLoopScheduler(final EventLoop loop, final LongConsumer latenessNanos) {
        this.loop = Objects.requireNonNull(loop);
        this.latenessNanos = Objects.requireNonNull(latenessNanos);
    }

    @Override
    public Worker createWorker() {
        return new LoopWorker();
    }

    /** A worker whose tasks are disposed together. Thread-safe. */
    private final class LoopWorker extends Worker {
        private final CompositeDisposable tasks = new CompositeDisposable();

        @Override
        public Disposable schedule(final Runnable task, final long delay, final TimeUnit unit) {
            if (tasks.isDisposed()) {
                return Disposable.disposed();
            }
            final Task scheduled = new Task(task);
            tasks.add(scheduled);
            if (delay <= 0) {
                loop.execute(scheduled);
            } else {
                final long dueNanos = System.nanoTime() + unit.toNanos(delay);
                scheduled.future = loop.schedule(() -> runDelayed(scheduled, dueNanos), delay, unit);
            }
            return scheduled;
        }

        private void runDelayed(final Task task, final long dueNanos) {
            latenessNanos.accept(Math.max(0, System.nanoTime() - dueNanos));
            task.run();
        }

        @Override
        public void dispose() {
            tasks.dispose();
        }

        @Override
        public boolean isDisposed() {
            return tasks.isDisposed();
        }

        /** A scheduled task. Runs at most once, and never after it was disposed. */
        private final class Task implements Runnable, Disposable {
            private final Runnable task;
            private volatile Future<?> future;
            private volatile boolean disposed;

            Task(final Runnable task) {
                this.task = task;
            }

            @Override
            public void run() {
                if (disposed) {
                    return;
                }
                disposed = true;
                tasks.delete(this);
                task.run();
            }

            @Override
            public void dispose() {
                disposed = true;
                tasks.delete(this);
                final Future<?> scheduledFuture = future;
                if (scheduledFuture != null) {
                    scheduledFuture.cancel(false);
                }
            }

            @Override
            public boolean isDisposed() {
                return disposed;
            }
        }
    }
}
