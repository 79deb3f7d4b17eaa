package org.balsambank.core.supervise;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.time.TimerService;

/**
 * Runs parts and restarts each that fails, without touching the others.
 *
 * <p>Invariant: a part runs at most once at a time. A part that fails more than {@value #MAX_RESTARTS} times within
 * the window fails the supervisor, which is itself a part of its parent. Confined to the decision loop.
 */
public final class Supervisor implements Component {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String RESTARTS = "balsambank.part.restarts";
    private static final int MAX_RESTARTS = 10;
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final String name;
    private final List<Component> parts;
    private final TimerService timer;
    private final MeterRegistry registry;

    /**
     * Creates a supervisor.
     *
     * @param name the name used in logs and metrics
     * @param parts the parts, started in this order
     * @param timer gives the time between restarts
     * @param registry counts restarts
     */
    public Supervisor(
            final String name,
            final List<? extends Component> parts,
            final TimerService timer,
            final MeterRegistry registry) {
        this.name = Objects.requireNonNull(name);
        this.parts = List.copyOf(parts);
        this.timer = Objects.requireNonNull(timer);
        this.registry = Objects.requireNonNull(registry);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Completable run() {
        return Completable.merge(parts.stream().map(this::supervise).toList());
    }

    private Completable supervise(final Component part) {
        return Completable.defer(() -> {
            final Deque<Long> failures = new ArrayDeque<>();
            return part.run().retryWhen(errors -> errors.flatMap(error -> restart(part, error, failures)));
        });
    }

    private Flowable<Long> restart(final Component part, final Throwable error, final Deque<Long> failures) {
        final long now = timer.nanoTime();
        failures.addLast(now);
        while (now - failures.peekFirst() > WINDOW.toNanos()) {
            failures.removeFirst();
        }
        registry.counter(RESTARTS, "part", part.name()).increment();
        if (failures.size() > MAX_RESTARTS) {
            LOGGER.atSevere().withCause(error).log("event=part_failed part=%s supervisor=%s", part.name(), name);
            return Flowable.error(error);
        }
        LOGGER.atWarning().withCause(error).log("event=part_restarted part=%s supervisor=%s", part.name(), name);
        return timer.after(delay(failures.size())).andThen(Flowable.just(now));
    }

    private static Duration delay(final int failures) {
        final Duration delay = FIRST_DELAY.multipliedBy(1L << Math.min(failures - 1, MAX_RESTARTS));
        return delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY;
    }
}
