package org.balsambank.core.partition;

import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which versions a voter promises to keep in force and confirms. Confined to one thread. */
final class VoterPromisesTest {
    private final TestScheduler clock = new TestScheduler();
    private final VoterPromises promises =
            new VoterPromises(SchedulerTimerService.ofVirtual(clock), OwnershipSettings.SMALL_FLEET);

    @Test
    void voterWithoutAnAdoptedVersionRefuses() {
        assertFalse(promises.promise(0));
        assertFalse(promises.confirm(0));
        assertFalse(promises.confirm(1));
    }

    @Test
    void promiseIsMadeForTheAdoptedVersionOnly() {
        promises.adopt(5);
        assertFalse(promises.promise(4));
        assertFalse(promises.promise(6));
        assertTrue(promises.promise(5));
    }

    @Test
    void laterVersionIsConfirmedOnlyAfterEarlierPromisesExpire() {
        promises.adopt(5);
        assertTrue(promises.confirm(5));
        assertTrue(promises.promise(5));
        assertTrue(promises.confirm(5));
        promises.adopt(7);
        assertFalse(promises.confirm(7));
        clock.advanceTimeBy(2999, TimeUnit.MILLISECONDS);
        assertFalse(promises.confirm(6));
        clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        assertTrue(promises.confirm(6));
        assertFalse(promises.confirm(8));
    }
}
