package org.balsambank.standin.command;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.balsambank.standin.engine.WeightStore;
import org.balsambank.standin.http.HttpStandin;

/**
 * Starts stand-ins in this process and keeps them running until the process is stopped.
 *
 * <p>Thread-safe.
 */
public final class Launcher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOPS = 4;
    private static final int EXIT_FAILED = 1;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));

    /**
     * Creates a weight store on a separate event loop.
     *
     * @param loadTime the duration of one adapter load
     * @return the store
     */
    public WeightStore weightStore(final Duration loadTime) {
        return new WeightStore(HttpStandin.timerOf(vertx.getOrCreateContext()), loadTime);
    }

    /**
     * Returns the Vert.x instance that runs the stand-ins.
     *
     * @return the Vert.x instance
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Starts stand-ins. Exits the process with code 1 if one fails to start.
     *
     * @param standins the stand-ins
     */
    public void run(final List<? extends Deployable> standins) {
        try {
            deploy(standins).toCompletionStage().toCompletableFuture().get();
            LOGGER.atInfo().log("event=started standins=%d", standins.size());
        } catch (final ExecutionException e) {
            LOGGER.atSevere().log("event=start_failed cause=%s", e.getCause().getMessage());
            System.exit(EXIT_FAILED);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts stand-ins.
     *
     * @param standins the stand-ins
     * @return completes when all are started, fails if one fails to start
     */
    public Future<?> deploy(final List<? extends Deployable> standins) {
        return Future.all(standins.stream().map(vertx::deployVerticle).toList());
    }
}
