package org.balsambank.core.supervise;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the restarts of failed components. Confined to one thread. */
final class SupervisorTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timer = SchedulerTimerService.ofVirtual(scheduler);
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger otherStarts = new AtomicInteger();

    @Test
    void restartsOnlyTheFailedComponent() {
        final TestObserver<Void> observer = supervise(failingUntil(3)).run().test();
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        assertEquals(3, starts.get());
        assertEquals(1, otherStarts.get());
        observer.assertNotComplete().assertNoErrors();
    }

    @Test
    void failsWhenAComponentKeepsFailing() {
        final TestObserver<Void> observer =
                supervise(failingUntil(Integer.MAX_VALUE)).run().test();
        scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
        observer.assertError(IllegalStateException.class);
    }

    private Supervisor supervise(final Completable first) {
        final Completable steady = Completable.defer(() -> {
            otherStarts.incrementAndGet();
            return Completable.never();
        });
        return new Supervisor(
                "root",
                List.of(new SimpleComponent("first", first), new SimpleComponent("steady", steady)),
                timer,
                new SimpleMeterRegistry());
    }

    private Completable failingUntil(final int successfulStart) {
        return Completable.defer(() -> starts.incrementAndGet() < successfulStart
                ? Completable.error(new IllegalStateException("broken"))
                : Completable.never());
    }
}
