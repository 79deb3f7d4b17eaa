package org.balsambank.standin.kv;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.standin.kv.WriteResult.Status;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests compare-and-swap, leases and watches in virtual time. */
class KeyValueModelTest {
    private static final Duration WAIT = Duration.ofSeconds(5);

    private final TestScheduler scheduler = new TestScheduler();
    private final KeyValueModel store = new KeyValueModel(SchedulerTimerService.ofVirtual(scheduler));

    @Test
    void writesOnlyAtTheExpectedRevision() {
        assertEquals(new WriteResult(Status.DONE, 1), store.write("k", 0, "a", 0));
        assertEquals(new WriteResult(Status.CONFLICT, 1), store.write("k", 0, "b", 0));
        assertEquals(new WriteResult(Status.DONE, 2), store.write("k", 1, "b", 0));
        assertEquals("b", store.read("k").orElseThrow().value());
    }

    @Test
    void deletesOnlyAtTheExpectedRevision() {
        store.write("k", 0, "a", 0);
        assertEquals(Status.CONFLICT, store.delete("k", 9).status());
        assertEquals(Status.DONE, store.delete("k", 1).status());
        assertFalse(store.read("k").isPresent());
    }

    @Test
    void listsTheKeysWithThePrefix() {
        store.write("a/1", 0, "x", 0);
        store.write("a/2", 0, "y", 0);
        store.write("b/1", 0, "z", 0);
        assertEquals(2, store.list("a/").size());
    }

    @Test
    void removesKeysWhenTheirLeaseExpires() {
        final long lease = store.grantLease(Duration.ofMillis(100));
        store.write("k", 0, "a", lease);
        scheduler.advanceTimeBy(90, TimeUnit.MILLISECONDS);
        assertTrue(store.renewLease(lease));
        scheduler.advanceTimeBy(90, TimeUnit.MILLISECONDS);
        assertTrue(store.read("k").isPresent());
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        assertFalse(store.read("k").isPresent());
        assertFalse(store.renewLease(lease));
        assertEquals(Status.LEASE_ENDED, store.write("k", 0, "a", lease).status());
    }

    @Test
    void watchReturnsPastChangesImmediately() {
        store.write("k", 0, "a", 0);
        store.write("k", 1, "b", 0);
        final var result = store.watch("k", 1, WAIT).blockingGet();
        assertEquals(1, result.changes().size());
        assertEquals(2, result.revision());
    }

    @Test
    void watchWaitsForAChangeOfItsPrefix() {
        final var watch = store.watch("k", 0, WAIT).test();
        store.write("other", 0, "a", 0);
        watch.assertNoValues();
        store.write("k", 0, "a", 0);
        watch.assertValue(result -> result.changes().get(0).key().equals("k"));
    }

    @Test
    void watchReturnsNoChangesAfterATimeout() {
        final var watch = store.watch("k", 0, WAIT).test();
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        watch.assertValue(result -> result.changes().isEmpty());
    }

    @Test
    void rejectsValuesLargerThanOneMebibyte() {
        final String value = "A".repeat(KeyValueModel.MAX_VALUE_CHARS + 1);
        assertEquals(Status.TOO_LARGE, store.write("k", 0, value, 0).status());
    }
}
