package org.balsambank.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the rate and the contention of loads from the weight store in virtual time. */
class WeightStoreTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final WeightStore store =
            new WeightStore(SchedulerTimerService.ofVirtual(scheduler), Duration.ofMillis(250));

    @Test
    void singleLoadTakesAQuarterSecond() {
        final TestObserver<Void> load = store.load("a@1").test();
        scheduler.advanceTimeBy(249, TimeUnit.MILLISECONDS);
        load.assertNotComplete();
        scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        load.assertComplete();
    }

    @Test
    void startsFourLoadsPerSecond() {
        final AtomicInteger finished = new AtomicInteger();
        final List<TestObserver<Void>> loads = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            loads.add(
                    store.load("a@" + i).doOnComplete(finished::incrementAndGet).test());
        }
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        assertTrue(finished.get() <= 4 * 10 + 4, "loads done in 10 s: " + finished);
        scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
        loads.forEach(TestObserver::assertComplete);
    }

    @Test
    void contentionMakesLoadsLonger() {
        final List<TestObserver<Void>> loads = new ArrayList<>();
        for (int i = 0; i < 2 * WeightStore.MAX_UNCONTENDED_LOADS; i++) {
            loads.add(store.load("a@" + i).test());
        }
        final TestObserver<Void> last = loads.get(loads.size() - 1);
        final long startOfLast = 250L * (2 * WeightStore.MAX_UNCONTENDED_LOADS - 4);
        scheduler.advanceTimeBy(startOfLast + 2 * 250 - 1, TimeUnit.MILLISECONDS);
        last.assertNotComplete();
        scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        last.assertComplete();
    }
}
