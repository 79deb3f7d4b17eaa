package org.balsambank.core.serving.target;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the state of removed targets, in virtual time. Confined to one thread. */
final class TargetTableTest {
    private final TestScheduler clock = new TestScheduler();
    private final TargetTable table = new TargetTable(SchedulerTimerService.ofVirtual(clock), DecisionLog.NONE);

    @Test
    void removedTargetsAreDiscardedAfterTenMinutes() {
        for (int i = 0; i < 100; i++) {
            table.recordAnnouncement(announcement("t" + i), 2 * i + 1);
            table.recordRemoval(new TargetId("t" + i), 2 * i + 2);
            clock.advanceTimeBy(1, TimeUnit.MINUTES);
        }
        assertTrue(table.all().size() <= 12, "targets " + table.all().size());
    }

    @Test
    void olderAnnouncementDoesNotRestoreRemovedTarget() {
        table.recordAnnouncement(announcement("t"), 5);
        table.recordRemoval(new TargetId("t"), 7);
        table.recordAnnouncement(announcement("t"), 6);
        assertFalse(table.usable(new TargetId("t")));
        table.recordAnnouncement(announcement("t"), 8);
        assertTrue(table.usable(new TargetId("t")));
        assertEquals(1, table.all().size());
    }

    private static TargetAnnouncement announcement(final String id) {
        return new TargetAnnouncement(
                new TargetId(id),
                new ServiceName("s"),
                "127.0.0.1",
                1,
                new FailureDomain("d"),
                6,
                false,
                0,
                1,
                List.of(),
                Map.of());
    }
}
