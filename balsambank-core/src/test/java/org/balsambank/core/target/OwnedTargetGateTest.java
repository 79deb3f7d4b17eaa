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

/** Tests what one gate decides about two engines. */
class OwnedTargetGateTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration SETTLED = Duration.ofSeconds(8);

    private final TargetFixture world = new TargetFixture(2, false);
    private final FakeOwnership ownership = FakeOwnership.ofAll();
    private final OwnedTargetGate gate = world.gate(ownership);

    @AfterEach
    void nothingBroke() {
        assertEquals(List.of(), world.violations());
    }

    @Test
    void loadsOnceForManyWaiting() {
        world.advance(SETTLED);
        burst(0, 1, 8);
        world.advance(Duration.ofSeconds(5));
        assertEquals(8, world.count("COMPLETED"));
        assertEquals(1, world.engine(0).loadOrders.get(TargetFixture.adapter(1)));
    }

    @Test
    void coldTargetGetsFewRequestsAndWarmOneAll() {
        world.engine(0).coldLimit = 2;
        steady(20);
        assertEquals(TargetFixture.CONCURRENCY, world.engine(0).mostRunning);
    }

    @Test
    void rampStartsAgainAfterRestartWithoutNotice() {
        world.engine(0).coldLimit = 2;
        steady(20);
        burst(0, 1, 8);
        world.engine(0).restart();
        steady(20);
        assertEquals(8, world.count("LOST"));
        assertEquals(TargetFixture.CONCURRENCY, world.engine(0).mostRunning);
    }

    @Test
    void rampStartsAgainAfterRestartOfIdleTarget() {
        steady(20);
        world.advance(SETTLED);
        world.engine(0).coldLimit = 2;
        world.engine(0).restart();
        world.advance(SECOND.multipliedBy(2));
        burst(0, 1, 8);
        world.advance(SETTLED);
        assertEquals(0, world.count("LOST"));
    }

    @Test
    void lostCacheIsLoadedAgain() {
        world.advance(SETTLED);
        burst(0, 1, 1);
        world.advance(SETTLED);
        world.engine(0).loseCache();
        world.advance(SECOND.multipliedBy(4));
        burst(0, 1, 1);
        world.advance(SETTLED);
        assertEquals(2, world.count("COMPLETED"));
    }

    @Test
    void failedLoadFailsOverAndBacksOff() {
        world.advance(SETTLED);
        world.engine(0).failsLoads = true;
        burst(0, 1, 3);
        world.advance(Duration.ofMillis(100));
        burst(0, 1, 3);
        assertEquals(6, world.count("ADAPTER_LOAD_FAILED"));
        assertEquals(1, world.engine(0).loadOrders.get(TargetFixture.adapter(1)));
        world.engine(0).failsLoads = false;
        world.advance(SETTLED);
        burst(0, 1, 1);
        world.advance(SECOND);
        assertEquals(1, world.count("COMPLETED"));
    }

    @Test
    void evictsIdleAdapterForNewOne() {
        world.advance(SETTLED);
        for (int adapter = 0; adapter <= TargetFixture.SLOTS; adapter++) {
            burst(0, adapter, 1);
            world.advance(SETTLED);
        }
        assertEquals(TargetFixture.SLOTS + 1, world.count("COMPLETED"));
        assertEquals(1, world.engine(0).evictions);
    }

    @Test
    void adapterInUseStaysAndNewOneGetsItsTurn() {
        world.advance(SETTLED);
        for (int round = 0; round < 80; round++) {
            for (int adapter = 0; adapter < TargetFixture.SLOTS; adapter++) {
                burst(0, adapter, 1);
            }
            if (round == 20) {
                burst(0, TargetFixture.SLOTS, 1);
            }
            world.advance(Duration.ofMillis(350));
        }
        assertTrue(world.engine(0).loadOrders.containsKey(TargetFixture.adapter(TargetFixture.SLOTS)));
        world.advance(SETTLED);
        assertEquals(80 * TargetFixture.SLOTS + 1, world.count("COMPLETED"));
    }

    @Test
    void deadlineInQueueSaysNotRun() {
        world.engine(0).loadTime = Duration.ofSeconds(4);
        world.advance(SETTLED);
        world.run(gate, world.request(0, 1, TrafficClass.NORMAL, "print", SECOND));
        world.advance(SETTLED);
        assertEquals(List.of("DEADLINE_BEFORE_RUN"), world.outcomes);
        assertEquals(0, world.engine(0).runs);
    }

    @Test
    void requestsThatGaveUpUseNoLoadSlots() {
        world.advance(SETTLED);
        for (int i = 0; i < 200; i++) {
            world.run(
                    gate,
                    world.request(
                            i % 2, i % TargetFixture.ADAPTERS, TrafficClass.NORMAL, "print-" + i, SECOND.dividedBy(2)));
            world.advance(Duration.ofMillis(100));
        }
        assertTrue(world.count("DEADLINE_BEFORE_RUN") > 0);
        assertTrue(
                world.engine(0).loadOrders.values().stream()
                                .mapToInt(Integer::intValue)
                                .sum()
                        >= 35,
                () -> world.engine(0).loadOrders.toString());
    }

    @Test
    void fullQueueRefusesAtOnce() {
        world.advance(SETTLED);
        burst(0, 1, 100);
        assertTrue(world.count("OVERLOADED") >= 80);
    }

    @Test
    void domainOutGetsNothingNewAndReturnRamps() {
        steady(20);
        burst(0, 1, 20);
        final int runs = world.engine(0).runs;
        world.domainOut(Set.of(new FailureDomain("domain-0")));
        burst(0, 1, 1);
        world.advance(SETTLED);
        assertEquals(runs, world.engine(0).runs);
        assertEquals(13, world.count("NO_TARGET"));
        assertEquals(0, world.engine(0).running());
        world.domainOut(Set.of());
        world.engine(0).mostRunning = 0;
        burst(0, 1, 8);
        assertEquals(2, world.engine(0).mostRunning);
    }

    @Test
    void unreachableTargetRefusesAndComesBack() {
        steady(20);
        world.engine(0).reachable = false;
        world.advance(SETTLED);
        burst(0, 1, 1);
        assertEquals(1, world.count("NO_TARGET"));
        world.engine(0).reachable = true;
        world.advance(SECOND);
        burst(0, 1, 1);
        world.advance(SECOND);
        assertEquals(1, world.count("NO_TARGET"));
    }

    @Test
    void lapsedLeaseStopsPermitsAndSends() {
        steady(20);
        burst(0, 1, 20);
        final int runs = world.engine(0).runs;
        ownership.expire(true);
        burst(0, 1, 1);
        world.advance(SETTLED);
        assertEquals(runs, world.engine(0).runs);
        assertEquals(13, world.count("NO_OWNER"));
    }

    @Test
    void permitTakenBeforeLapseIsNotSentAfterIt() {
        steady(20);
        final TargetPermit permit = gate.acquire(world.request(0, 1)).blockingGet();
        ownership.expire(true);
        assertTrue(permit.epochToSend().isEmpty());
        permit.release(TargetOutcome.NOT_SENT);
    }

    @Test
    void poisonCostsTwoTargetsAtMost() {
        world.engine(0)
                .poison
                .add(world.request(0, 1, TrafficClass.NORMAL, "poison", SECOND).fingerprint());
        world.engine(1)
                .poison
                .add(world.request(0, 1, TrafficClass.NORMAL, "poison", SECOND).fingerprint());
        world.advance(SETTLED);
        for (int attempt = 0; attempt < 12; attempt++) {
            world.run(gate, world.request(attempt % 2, 1, TrafficClass.NORMAL, "poison", SETTLED));
            world.run(gate, world.request(attempt % 2, 1, TrafficClass.NORMAL, "innocent-" + attempt, SETTLED));
            world.advance(SETTLED);
        }
        assertEquals(2, world.engine(0).crashes + world.engine(1).crashes);
        assertEquals(10, world.count("POISON_REQUEST"));
    }

    @Test
    void earlierOwnersOrderIsWaitedOut() {
        assertEquals(64, ownership.held().size());
        world.advance(Duration.ofMillis(100));
        burst(0, 1, 1);
        world.advance(SECOND.multipliedBy(6));
        assertTrue(world.engine(0).loadOrders.isEmpty());
        world.advance(SECOND.multipliedBy(3));
        assertEquals(1, world.count("COMPLETED"));
        assertTrue(ownership
                .heldEpoch(ownership.partitionOf(SubjectKind.TARGET, "target-0"))
                .isPresent());
    }

    /** Sends a burst of requests. */
    private void burst(final int target, final int adapter, final int count) {
        for (int i = 0; i < count; i++) {
            world.run(gate, world.request(target, adapter));
        }
    }

    /** Keeps ten requests arriving every 300 ms. */
    private void steady(final int seconds) {
        for (int i = 0; i < seconds * 3; i++) {
            burst(0, 1, 10);
            world.advance(Duration.ofMillis(333));
        }
        world.advance(SETTLED);
        assertTrue(world.count("COMPLETED") > 0);
    }
}
