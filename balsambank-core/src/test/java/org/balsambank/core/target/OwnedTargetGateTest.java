package org.balsambank.core.target;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests admission, loading and crash handling of one gate with two engines. */
class OwnedTargetGateTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(8);

    private final TargetFixture fixture = new TargetFixture(2, false);
    private final FakeOwnership ownership = FakeOwnership.ofAll();
    private final OwnedTargetGate gate = fixture.gate(ownership);

    @AfterEach
    void noViolations() {
        assertEquals(List.of(), fixture.violations());
    }

    @Test
    void loadsOnceForManyQueuedRequests() {
        fixture.advance(SETTLE_TIME);
        sendBurst(0, 1, 8);
        fixture.advance(Duration.ofSeconds(5));
        assertEquals(8, fixture.count("COMPLETED"));
        assertEquals(1, fixture.engine(0).loadCommands.get(TargetFixture.adapter(1)));
    }

    @Test
    void coldTargetIsLimitedAndWarmTargetUsesFullConcurrency() {
        fixture.engine(0).coldLimit = 2;
        sendSteadily(20);
        assertEquals(TargetFixture.CONCURRENCY, fixture.engine(0).maxRunning);
    }

    @Test
    void rampRestartsAfterUnannouncedRestart() {
        fixture.engine(0).coldLimit = 2;
        sendSteadily(20);
        sendBurst(0, 1, 8);
        fixture.engine(0).restart();
        sendSteadily(20);
        assertEquals(8, fixture.count("LOST"));
        assertEquals(TargetFixture.CONCURRENCY, fixture.engine(0).maxRunning);
    }

    @Test
    void rampRestartsAfterRestartOfIdleTarget() {
        sendSteadily(20);
        fixture.advance(SETTLE_TIME);
        fixture.engine(0).coldLimit = 2;
        fixture.engine(0).restart();
        fixture.advance(SECOND.multipliedBy(2));
        sendBurst(0, 1, 8);
        fixture.advance(SETTLE_TIME);
        assertEquals(0, fixture.count("LOST"));
    }

    @Test
    void droppedAdapterIsReloaded() {
        fixture.advance(SETTLE_TIME);
        sendBurst(0, 1, 1);
        fixture.advance(SETTLE_TIME);
        fixture.engine(0).dropIdleAdapters();
        fixture.advance(SECOND.multipliedBy(4));
        sendBurst(0, 1, 1);
        fixture.advance(SETTLE_TIME);
        assertEquals(2, fixture.count("COMPLETED"));
    }

    @Test
    void failedLoadRejectsRequestsAndBacksOff() {
        fixture.advance(SETTLE_TIME);
        fixture.engine(0).failsLoads = true;
        sendBurst(0, 1, 3);
        fixture.advance(Duration.ofMillis(100));
        sendBurst(0, 1, 3);
        assertEquals(6, fixture.count("ADAPTER_LOAD_FAILED"));
        assertEquals(1, fixture.engine(0).loadCommands.get(TargetFixture.adapter(1)));
        fixture.engine(0).failsLoads = false;
        fixture.advance(SETTLE_TIME);
        sendBurst(0, 1, 1);
        fixture.advance(SECOND);
        assertEquals(1, fixture.count("COMPLETED"));
    }

    @Test
    void evictsIdleAdapterForNewOne() {
        fixture.advance(SETTLE_TIME);
        for (int adapter = 0; adapter <= TargetFixture.SLOTS; adapter++) {
            sendBurst(0, adapter, 1);
            fixture.advance(SETTLE_TIME);
        }
        assertEquals(TargetFixture.SLOTS + 1, fixture.count("COMPLETED"));
        assertEquals(1, fixture.engine(0).evictions);
    }

    @Test
    void adaptersInUseStayResidentAndNewOneIsLoadedEventually() {
        fixture.advance(SETTLE_TIME);
        for (int round = 0; round < 80; round++) {
            for (int adapter = 0; adapter < TargetFixture.SLOTS; adapter++) {
                sendBurst(0, adapter, 1);
            }
            if (round == 20) {
                sendBurst(0, TargetFixture.SLOTS, 1);
            }
            fixture.advance(Duration.ofMillis(350));
        }
        assertTrue(fixture.engine(0).loadCommands.containsKey(TargetFixture.adapter(TargetFixture.SLOTS)));
        fixture.advance(SETTLE_TIME);
        assertEquals(80 * TargetFixture.SLOTS + 1, fixture.count("COMPLETED"));
    }

    @Test
    void deadlineInQueueMeansNotRun() {
        fixture.engine(0).loadTime = Duration.ofSeconds(4);
        fixture.advance(SETTLE_TIME);
        fixture.run(gate, fixture.request(0, 1, TrafficClass.NORMAL, "print", SECOND));
        fixture.advance(SETTLE_TIME);
        assertEquals(List.of("DEADLINE_BEFORE_RUN"), fixture.outcomes);
        assertEquals(0, fixture.engine(0).runs);
    }

    @Test
    void expiredRequestsUseNoLoadSlots() {
        fixture.advance(SETTLE_TIME);
        for (int i = 0; i < 200; i++) {
            fixture.run(
                    gate,
                    fixture.request(
                            i % 2, i % TargetFixture.ADAPTERS, TrafficClass.NORMAL, "print-" + i, SECOND.dividedBy(2)));
            fixture.advance(Duration.ofMillis(100));
        }
        assertTrue(fixture.count("DEADLINE_BEFORE_RUN") > 0);
        assertTrue(
                fixture.engine(0).loadCommands.values().stream()
                                .mapToInt(Integer::intValue)
                                .sum()
                        >= 35,
                () -> fixture.engine(0).loadCommands.toString());
    }

    @Test
    void fullQueueRejectsImmediately() {
        fixture.advance(SETTLE_TIME);
        sendBurst(0, 1, 100);
        assertTrue(fixture.count("OVERLOADED") >= 80);
    }

    @Test
    void domainOutOfServiceGetsNoNewRequestsAndRampsUpOnReturn() {
        sendSteadily(20);
        sendBurst(0, 1, 20);
        final int runs = fixture.engine(0).runs;
        fixture.domainOut(Set.of(new FailureDomain("domain-0")));
        sendBurst(0, 1, 1);
        fixture.advance(SETTLE_TIME);
        assertEquals(runs, fixture.engine(0).runs);
        assertEquals(13, fixture.count("NO_TARGET"));
        assertEquals(0, fixture.engine(0).running());
        fixture.domainOut(Set.of());
        fixture.engine(0).maxRunning = 0;
        sendBurst(0, 1, 8);
        assertEquals(2, fixture.engine(0).maxRunning);
    }

    @Test
    void unreachableTargetRejectsRequestsAndRecovers() {
        sendSteadily(20);
        fixture.engine(0).reachable = false;
        fixture.advance(SETTLE_TIME);
        sendBurst(0, 1, 1);
        assertEquals(1, fixture.count("NO_TARGET"));
        fixture.engine(0).reachable = true;
        fixture.advance(SECOND);
        sendBurst(0, 1, 1);
        fixture.advance(SECOND);
        assertEquals(1, fixture.count("NO_TARGET"));
    }

    @Test
    void expiredLeaseStopsPermitsAndSends() {
        sendSteadily(20);
        sendBurst(0, 1, 20);
        final int runs = fixture.engine(0).runs;
        ownership.expire(true);
        sendBurst(0, 1, 1);
        fixture.advance(SETTLE_TIME);
        assertEquals(runs, fixture.engine(0).runs);
        assertEquals(13, fixture.count("NO_OWNER"));
    }

    @Test
    void permitGrantedBeforeLeaseExpiryIsNotSentAfterIt() {
        sendSteadily(20);
        final TargetPermit permit = gate.acquire(fixture.request(0, 1)).blockingGet();
        ownership.expire(true);
        assertTrue(permit.epochToSend().isEmpty());
        permit.release(TargetOutcome.NOT_SENT);
    }

    @Test
    void poisonRequestCrashesAtMostTwoTargets() {
        fixture.engine(0)
                .poisonFingerprints
                .add(fixture.request(0, 1, TrafficClass.NORMAL, "poison", SECOND)
                        .fingerprint());
        fixture.engine(1)
                .poisonFingerprints
                .add(fixture.request(0, 1, TrafficClass.NORMAL, "poison", SECOND)
                        .fingerprint());
        fixture.advance(SETTLE_TIME);
        for (int attempt = 0; attempt < 12; attempt++) {
            fixture.run(gate, fixture.request(attempt % 2, 1, TrafficClass.NORMAL, "poison", SETTLE_TIME));
            fixture.run(gate, fixture.request(attempt % 2, 1, TrafficClass.NORMAL, "innocent-" + attempt, SETTLE_TIME));
            fixture.advance(SETTLE_TIME);
        }
        assertEquals(2, fixture.engine(0).crashes + fixture.engine(1).crashes);
        assertEquals(10, fixture.count("POISON_REQUEST"));
    }

    @Test
    void waitsForCommandsOfPreviousOwner() {
        assertEquals(64, ownership.held().size());
        fixture.advance(Duration.ofMillis(100));
        sendBurst(0, 1, 1);
        fixture.advance(SECOND.multipliedBy(6));
        assertTrue(fixture.engine(0).loadCommands.isEmpty());
        fixture.advance(SECOND.multipliedBy(3));
        assertEquals(1, fixture.count("COMPLETED"));
        assertTrue(ownership
                .heldEpoch(ownership.partitionOf(SubjectKind.TARGET, "target-0"))
                .isPresent());
    }

    /** Sends a burst of requests. */
    private void sendBurst(final int target, final int adapter, final int count) {
        for (int i = 0; i < count; i++) {
            fixture.run(gate, fixture.request(target, adapter));
        }
    }

    /** Sends ten requests every 333 ms for some seconds, then waits until they have ended. */
    private void sendSteadily(final int seconds) {
        for (int i = 0; i < seconds * 3; i++) {
            sendBurst(0, 1, 10);
            fixture.advance(Duration.ofMillis(333));
        }
        fixture.advance(SETTLE_TIME);
        assertTrue(fixture.count("COMPLETED") > 0);
    }
}
