package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.partition.OwnershipChange.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs three gates and four engines with random faults for an hour of virtual time per seed. */
class TargetGateRandomTest {
    private static final int TARGETS = 4;
    private static final int VMS = 3;
    private static final int STEPS = 36_000;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private final Map<PartitionId, VmId> owners = new HashMap<>();
    private final Map<PartitionId, Epoch> epochs = new HashMap<>();
    private final List<FakeOwnership> ownerships = new ArrayList<>();
    private final List<OwnedTargetGate> gates = new ArrayList<>();
    private final List<Disposable> running = new ArrayList<>();
    private TargetFixture fixture;
    private Random random;
    private int sent;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void invariantsHoldForAnHour(final long seed) {
        start(seed, seed % 2 == 0);
        for (int step = 0; step < STEPS; step++) {
            sendRequests();
            injectFault();
            fixture.advance(STEP);
        }
        clearFaults();
        fixture.advance(Duration.ofMinutes(2));
        assertEquals(List.of(), fixture.violations().stream().limit(5).toList());
        assertEquals(sent, fixture.outcomes.size());
        assertTrue(
                fixture.count("COMPLETED") > sent / 10,
                () -> "completed " + fixture.count("COMPLETED") + " of " + sent);
        assertTrue(poisonCrashes() <= 2, () -> "crashes " + poisonCrashes());
    }

    @Test
    void sameSeedGivesTheSameRun() {
        assertEquals(outcomes(7), outcomes(7));
    }

    private List<String> outcomes(final long seed) {
        owners.clear();
        epochs.clear();
        ownerships.clear();
        gates.clear();
        running.clear();
        sent = 0;
        start(seed, false);
        for (int step = 0; step < STEPS / 10; step++) {
            sendRequests();
            injectFault();
            fixture.advance(STEP);
        }
        return fixture.outcomes;
    }

    private void start(final long seed, final boolean fencing) {
        random = new Random(seed);
        fixture = new TargetFixture(TARGETS, fencing);
        for (int vm = 0; vm < VMS; vm++) {
            ownerships.add(new FakeOwnership(new VmId("vm-" + vm), owners, epochs));
        }
        for (int target = 0; target < TARGETS; target++) {
            owners.put(partition(target), new VmId("vm-" + target % VMS));
            epochs.put(partition(target), new Epoch(1));
            fixture.engine(target).coldLimit = 2;
            fixture.engine(target).poisonFingerprints.add(new Fingerprint("poison"));
        }
        ownerships.forEach(ownership -> gates.add(fixture.gate(ownership)));
    }

    private void sendRequests() {
        final int count = random.nextInt(5);
        for (int i = 0; i < count; i++) {
            final int target = random.nextInt(TARGETS);
            final int adapter = (int) Math.pow(8, random.nextDouble()) - 1;
            final TrafficClass trafficClass = TrafficClass.values()[random.nextInt(3)];
            final String print = random.nextInt(2_000) == 0 ? "poison" : "print-" + sent;
            sent++;
            running.add(fixture.run(
                    gates.get(vmOf(target)), fixture.request(target, adapter, trafficClass, print, DEADLINE)));
        }
    }

    private void injectFault() {
        final int target = random.nextInt(TARGETS);
        final FakeEngine engine = fixture.engine(target);
        switch (random.nextInt(2_000)) {
            case 0, 1 -> engine.restart();
            case 2, 3 -> engine.dropIdleAdapters();
            case 4 -> engine.failsLoads = !engine.failsLoads;
            case 5 -> engine.reachable = !engine.reachable;
            case 6 -> engine.loadTime = Duration.ofMillis(100 + random.nextInt(6_000));
            case 7 -> engine.commandDelay = Duration.ofMillis(random.nextInt(900));
            case 8 -> engine.reportLag = Duration.ofMillis(random.nextInt(2_000));
            case 9 -> fixture.domainOut(Set.of(new FailureDomain("domain-" + target)));
            case 10, 11 -> fixture.domainOut(Set.of());
            case 12, 13, 14 -> moveOwnership(target);
            case 15 -> clearFaults();
            case 16, 17, 18, 19 -> cancelOne();
            default -> {
                return;
            }
        }
    }

    private void clearFaults() {
        for (int target = 0; target < TARGETS; target++) {
            fixture.engine(target).failsLoads = false;
            fixture.engine(target).reachable = true;
            fixture.engine(target).loadTime = Duration.ofMillis(250);
        }
        fixture.domainOut(Set.of());
    }

    private void cancelOne() {
        running.removeIf(Disposable::isDisposed);
        if (!running.isEmpty()) {
            running.remove(random.nextInt(running.size())).dispose();
            fixture.outcomes.add("CANCELLED");
        }
    }

    /**
     * Moves a target to another VM; the previous owner receives no notification and only sees that it no longer holds
     * the epoch.
     */
    private void moveOwnership(final int target) {
        final PartitionId partition = partition(target);
        owners.put(partition, new VmId("vm-" + random.nextInt(VMS)));
        epochs.put(partition, new Epoch(epochs.get(partition).value() + 1));
        ownerships.get(vmOf(target)).signal(partition, Kind.GAINED);
    }

    private int vmOf(final int target) {
        return Integer.parseInt(owners.get(partition(target)).value().substring("vm-".length()));
    }

    private PartitionId partition(final int target) {
        return ownerships
                .get(0)
                .partitionOf(SubjectKind.TARGET, TargetFixture.target(target).value());
    }

    private int poisonCrashes() {
        return fixture.engines.values().stream()
                .mapToInt(engine -> engine.crashes)
                .sum();
    }
}
