package org.balsambank.daemon;

import java.util.Objects;
import java.util.concurrent.Executor;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Context;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * The executor of the decision loop, on one Vert.x context.
 *
 * <p>Immutable and thread-safe. Tasks run one at a time, in submission order.
 */
public final class DecisionLoop implements Executor {
    private final Context context;
    private final TimerService timer;

    /**
     * Creates a loop.
     *
     * @param context the event loop context of the VM
     */
    public DecisionLoop(final Context context) {
        this.context = Objects.requireNonNull(context);
        timer = new SchedulerTimerService(Schedulers.from(this), System::nanoTime);
    }

    @Override
    public void execute(final Runnable task) {
        context.runOnContext(ignored -> task.run());
    }

    /**
     * Returns the context.
     *
     * @return the Vert.x context of the loop
     */
    public Context context() {
        return context;
    }

    /**
     * Returns the timer service of the loop.
     *
     * @return the timer service, on the monotonic clock
     */
    public TimerService timer() {
        return timer;
    }
}
