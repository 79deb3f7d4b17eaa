package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.fake.FakeVmList;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.OwnershipChange.Kind;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.target.PoisonRequestRegistry.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests decisions shared between VMs: load slots, crashes and trials. */
class SharedDecisionsTest {
    private static final int VMS = 3;
    private static final int IN_FLIGHT = 8;
    private static final Fingerprint FINGERPRINT = new Fingerprint("print");
    private static final CrashId CRASH = new CrashId(new TargetId("target"), new BootId("boot"));
    private static final CrashId OTHER_CRASH = new CrashId(new TargetId("target"), new BootId("boot 2"));

    private final TestScheduler clock = new TestScheduler();
    private final FakePeerNetwork network = new FakePeerNetwork(clock, 3);
    private final FakeVmList list = new FakeVmList(clock);
    private final FakeKeyValueService store = new FakeKeyValueService(clock, 4);
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private final Map<PartitionId, VmId> owners = new HashMap<>();
    private final Map<PartitionId, Epoch> epochs = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private int held;
    private int maxHeld;
    private int started;

    SharedDecisionsTest() {
        network.delay(Duration.ofMillis(1), Duration.ofMillis(5));
        assignAllTo(0);
        for (int i = 0; i < VMS; i++) {
            vms.add(new Vm(i));
        }
        advance(Duration.ofSeconds(1));
    }

    @Test
    void allVmsTogetherStayWithinTheLimitAndUseIt() {
        for (int i = 0; i < 120; i++) {
            load(vms.get(i % VMS), Duration.ofMillis(250));
        }
        advance(Duration.ofSeconds(10));
        assertTrue(started >= 39 && started <= 44, () -> "started " + started);
        assertEquals(List.of(), invariants.violations());
    }

    @Test
    void newLenderAdoptsLoadsInFlight() {
        for (int i = 0; i < 40; i++) {
            load(vms.get(1 + i % 2), Duration.ofSeconds(20));
        }
        advance(Duration.ofSeconds(5));
        assertEquals(IN_FLIGHT, held);
        vms.get(0).loop.kill();
        advance(Duration.ofSeconds(3));
        assignAllTo(1);
        vms.get(1).gained();
        advance(Duration.ofSeconds(30));
        assertEquals(IN_FLIGHT, maxHeld);
        assertTrue(started > IN_FLIGHT);
    }

    @Test
    void crashReachesAllVmsIncludingThoseStartedLater() {
        vms.get(0).poison.record(FINGERPRINT, CRASH);
        network.cut(vmId(0), vmId(2), true);
        vms.get(0).trials.announce(CRASH, Set.of(FINGERPRINT));
        advance(Duration.ofSeconds(1));
        assertEquals(Verdict.SUSPECT, vms.get(1).poison.verdict(FINGERPRINT));
        network.cut(vmId(0), vmId(2), false);
        advance(Duration.ofSeconds(30));
        assertEquals(Verdict.SUSPECT, vms.get(2).poison.verdict(FINGERPRINT));
        final Vm later = new Vm(VMS);
        advance(Duration.ofSeconds(1));
        assertEquals(Verdict.SUSPECT, later.poison.verdict(FINGERPRINT));
    }

    // Guards against BUDGET: a request that crashed targets runs again after all VMs were killed at once.
    @Test
    void requestThatCrashedTwoTargetsStaysPoisonAfterAllVmsWereKilled() {
        for (final CrashId crash : List.of(CRASH, OTHER_CRASH)) {
            vms.get(1).poison.recordObserved(FINGERPRINT, crash);
            vms.get(1).trials.announce(crash, Set.of(FINGERPRINT));
            advance(Duration.ofSeconds(1));
        }
        vms.forEach(vm -> vm.loop.kill());
        advance(Duration.ofSeconds(1));
        final Vm first = new Vm(0);
        advance(Duration.ofSeconds(1));
        assertEquals(Verdict.POISON, first.poison.verdict(FINGERPRINT));
    }

    @Test
    void retractedCrashIsRemovedOnAllVms() {
        vms.get(0).trials.announce(CRASH, Set.of(FINGERPRINT));
        advance(Duration.ofSeconds(1));
        vms.get(0).trials.announce(CRASH, Set.of());
        advance(Duration.ofSeconds(1));
        assertEquals(Verdict.CLEAN, vms.get(1).poison.verdict(FINGERPRINT));
    }

    @Test
    void suspectHasOneTrialInTheFleet() {
        final TestObserver<CrashTrial> first =
                vms.get(1).trials.begin(FINGERPRINT, Set.of(CRASH)).test();
        advance(Duration.ofMillis(20));
        final TestObserver<CrashTrial> second =
                vms.get(2).trials.begin(FINGERPRINT, Set.of(CRASH)).test();
        advance(Duration.ofSeconds(1));
        first.assertNoErrors().assertValueCount(1);
        second.assertError(
                error -> error instanceof BalsambankException rejection && rejection.kind() == ErrorKind.OVERLOADED);
        first.values().get(0).end();
        advance(Duration.ofSeconds(1));
        final TestObserver<CrashTrial> third =
                vms.get(2).trials.begin(FINGERPRINT, Set.of(CRASH)).test();
        advance(Duration.ofSeconds(1));
        third.assertNoErrors().assertValueCount(1);
    }

    private void load(final Vm vm, final Duration duration) {
        vm.slots.acquire(TrafficClass.NORMAL).subscribe(slot -> {
            started++;
            held++;
            maxHeld = Math.max(maxHeld, held);
            vm.loop.timer().after(duration).subscribe(() -> {
                held--;
                slot.release();
            });
        });
    }

    private void assignAllTo(final int vm) {
        for (int i = 0; i < 64; i++) {
            owners.put(new PartitionId(i), vmId(vm));
            epochs.merge(new PartitionId(i), new Epoch(1), (old, one) -> new Epoch(old.value() + 1));
        }
    }

    private void advance(final Duration duration) {
        clock.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static VmId vmId(final int number) {
        return new VmId("vm-" + number);
    }

    /** The components of one VM. */
    private final class Vm {
        private final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        private final FakeOwnership ownership;
        private final PoisonRequestRegistry poison = new PoisonRequestRegistry(loop.timer());
        private final PeerLoadSlots slots;
        private final PeerCrashTrials trials;

        Vm(final int number) {
            ownership = new FakeOwnership(vmId(number), owners, epochs);
            final FakePeerTransport peers = network.join(vmId(number), loop);
            final LoadSlotLender lender = new LoadSlotLender(ownership, new LocalLoadSlots(loop.timer(), invariants));
            lender.register(peers);
            lender.run().subscribe();
            slots = new PeerLoadSlots(ownership, peers, loop.timer());
            list.put(new VmEntry(vmId(number), new FailureDomain("domain"), "127.0.0.1", 1, false));
            trials = new PeerCrashTrials(
                    vmId(number),
                    ownership,
                    peers,
                    list.on(loop),
                    loop.timer(),
                    poison,
                    new FakeKeyValueStore(store, vmId(number), loop),
                    () -> clock.now(TimeUnit.MILLISECONDS));
            trials.register();
            trials.run().subscribe();
        }

        void gained() {
            ownership.signal(LoadSlotLender.partition(ownership), Kind.GAINED);
        }
    }
}
