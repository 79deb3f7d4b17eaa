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
 * Runs components and restarts each that fails, without affecting the others.
 *
 * <p>Invariant: at most one run of a component is active at a time. A component that fails more than
 * {@value #MAX_RESTARTS} times within the window fails the supervisor, which is itself a component of its parent.
 * Confined to the decision loop.
 */
public final class Supervisor implements Component {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String RESTARTS = "balsambank.part.restarts";
    private static final int MAX_RESTARTS = 10;
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final String name;
    private final List<Component> components;
    private final TimerService timer;
    private final MeterRegistry registry;

    /**
     * Creates a supervisor.
     *
     * @param name the name used in logs and metrics
     * @param components the components, started in this order
     * @param timer the clock and timers
     * @param registry the registry of the counters
     */
    public Supervisor(
            final String name,
            final List<? extends Component> components,
            final TimerService timer,
            final MeterRegistry registry) {
        this.name = Objects.requireNonNull(name);
        this.components = List.copyOf(components);
        this.timer = Objects.requireNonNull(timer);
        this.registry = Objects.requireNonNull(registry);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Completable run() {
        return Completable.merge(components.stream().map(this::supervise).toList());
    }

    private Completable supervise(final Component component) {
        return Completable.defer(() -> {
            final Deque<Long> failures = new ArrayDeque<>();
            return component.run().retryWhen(errors -> errors.flatMap(error -> restart(component, error, failures)));
        });
    }

    private Flowable<Long> restart(final Component component, final Throwable error, final Deque<Long> failures) {
        final long now = timer.nanoTime();
        failures.addLast(now);
        while (now - failures.peekFirst() > WINDOW.toNanos()) {
            failures.removeFirst();
        }
        registry.counter(RESTARTS, "part", component.name()).increment();
        if (failures.size() > MAX_RESTARTS) {
            LOGGER.atSevere().withCause(error).log("event=part_failed part=%s supervisor=%s", component.name(), name);
            return Flowable.error(error);
        }
        LOGGER.atWarning().withCause(error).log("event=part_restarted part=%s supervisor=%s", component.name(), name);
        return timer.after(delay(failures.size())).andThen(Flowable.just(now));
    }

    private static Duration delay(final int failures) {
        final Duration delay = FIRST_DELAY.multipliedBy(1L << Math.min(failures - 1, MAX_RESTARTS));
        return delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY;
    }
}
