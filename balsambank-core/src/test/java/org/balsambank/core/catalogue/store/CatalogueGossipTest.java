package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.key.KeyIndex;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.port.VmEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the distribution of the catalogue between VMs under faults. Confined to one thread. */
final class CatalogueGossipTest {
    private static final int DOMAINS = 4;

    private final TestScheduler clock = new TestScheduler();
    private final FakeKeyValueService service = new FakeKeyValueService(clock, 9);
    private final FakePeerNetwork network = new FakePeerNetwork(clock, 9);
    private final List<VmEntry> vms = new ArrayList<>();
    private final Map<VmId, Node> nodes = new HashMap<>();
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private int writes;

    @ParameterizedTest
    @CsvSource({"1, 2000", "7, 2000", "50, 6000", "370, 12000"})
    void newRevisionIsInForceOnAllVmsWithinLimit(final int size, final long limitMillis) {
        startFleet(size);
        apply(CatalogueSamples.catalogue(300, "1"));
        advanceSeconds(20);
        final long messagesBefore = messages();
        final long startMillis = clock.now(TimeUnit.MILLISECONDS);
        apply(CatalogueSamples.catalogue(300, "2"));
        long lastMillis = startMillis;
        while (!isInForceOnAllVms(2) && clock.now(TimeUnit.MILLISECONDS) - startMillis < limitMillis) {
            clock.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            lastMillis = clock.now(TimeUnit.MILLISECONDS);
        }
        assertTrue(isInForceOnAllVms(2));
        advanceSeconds(20);
        final long bytes = nodes.values().stream()
                .mapToLong(node -> node.transport().bytesSent())
                .sum();
        System.out.printf(
                "gossip VMs %d in force after %d ms, messages per VM per second %.2f, bytes since start %d%n",
                size, lastMillis - startMillis, (messages() - messagesBefore) / (double) size / 20, bytes);
        assertEquals(List.of(), invariants.violations());
    }

    @Test
    void countsVmsWithRevision() {
        startFleet(7);
        apply(CatalogueSamples.catalogue(10, "1"));
        advanceSeconds(3);
        network.cutOff(vms.get(3).id(), true);
        final TestObserver<RolloutStatus> status = nodes.get(vms.get(0).id())
                .gossip()
                .rolloutStatus(new Revision(1))
                .test();
        advanceSeconds(3);
        assertEquals("in force on 6 of 7 VMs", status.values().get(0).toString());
    }

    @Test
    void withdrawnKeyIsRejectedOnAllVmsWithinSeconds() {
        startFleet(7);
        final Catalogue catalogue = CatalogueSamples.catalogue(10, "1");
        apply(catalogue);
        advanceSeconds(3);
        nodes.values()
                .forEach(node -> assertTrue(
                        KeyIndex.of(node.replica().current()).find("k0").isPresent()));
        apply(CatalogueSamples.withoutKeys(catalogue, CatalogueSamples.FIRST_TEAM));
        advanceSeconds(2);
        nodes.values()
                .forEach(node -> assertEquals(
                        Optional.empty(), KeyIndex.of(node.replica().current()).find("k0")));
    }

    @Test
    void restartedVmFetchesSnapshotFromPeersDuringOutage() {
        startFleet(7);
        apply(CatalogueSamples.catalogue(3_000, "1"));
        advanceSeconds(3);
        service.setOutage(true);
        final VmEntry restarted = vms.get(2);
        nodes.get(restarted.id()).loop().kill();
        advanceSeconds(2);
        join(restarted, 77);
        assertTrue(nodes.get(restarted.id()).freshness().isolated());
        advanceSeconds(6);
        assertEquals(new Revision(1), nodes.get(restarted.id()).replica().revision());
        nodes.values().forEach(node -> assertFalse(node.freshness().isolated()));
    }

    @Test
    void vmWithoutServiceAndMajorityIsIsolated() {
        startFleet(7);
        apply(CatalogueSamples.catalogue(10, "1"));
        advanceSeconds(5);
        final List<VmId> minority = vms.stream().limit(3).map(VmEntry::id).toList();
        setPartitioned(minority, true);
        advanceSeconds(6);
        minority.forEach(vm -> assertTrue(nodes.get(vm).freshness().isolated()));
        vms.stream()
                .skip(3)
                .forEach(vm -> assertFalse(nodes.get(vm.id()).freshness().isolated()));
        setPartitioned(minority, false);
        advanceSeconds(4);
        minority.forEach(vm -> assertFalse(nodes.get(vm).freshness().isolated()));
    }

    private void setPartitioned(final List<VmId> minority, final boolean partitioned) {
        for (final VmId vm : minority) {
            service.cutOff(vm, partitioned);
            vms.stream()
                    .map(VmEntry::id)
                    .filter(other -> !minority.contains(other))
                    .forEach(other -> network.cut(vm, other, partitioned));
        }
    }

    @Test
    void lowerRevisionIsNeverInstalled() {
        startFleet(1);
        apply(CatalogueSamples.catalogue(10, "1"));
        advanceSeconds(2);
        final Snapshot old = nodes.get(vms.get(0).id()).replica().snapshot();
        apply(CatalogueSamples.catalogue(10, "2"));
        advanceSeconds(2);
        assertFalse(nodes.get(vms.get(0).id()).replica().installIfNewer(old));
        assertEquals(new Revision(2), nodes.get(vms.get(0).id()).replica().revision());
        assertEquals(List.of(), invariants.violations());
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "7, 2", "20, 3"})
    void changesUnderLossAndPartitionsReachAllVmsAndNeverRevert(final int size, final long seed) {
        final Random random = new Random(seed);
        startFleet(size);
        network.messageLossRate(0.1);
        service.answerLossRate(0.1);
        for (int i = 1; i <= 15; i++) {
            final VmId isolated = vms.get(random.nextInt(size)).id();
            network.cutOff(isolated, true);
            apply(CatalogueSamples.catalogue(40, "v" + i));
            advanceSeconds(random.nextInt(4));
            network.cutOff(isolated, false);
        }
        network.messageLossRate(0);
        service.answerLossRate(0);
        apply(CatalogueSamples.catalogue(41, "last"));
        advanceSeconds(12);
        nodes.values()
                .forEach(node ->
                        assertEquals(41, node.replica().current().adapters().size()));
        assertEquals(List.of(), invariants.violations());
    }

    private void startFleet(final int size) {
        for (int i = 0; i < size; i++) {
            vms.add(new VmEntry(new VmId("vm-" + i), new FailureDomain("d" + i % DOMAINS), "127.0.0.1", 1, false));
        }
        vms.forEach(vm -> join(vm, vm.id().hashCode()));
        advanceSeconds(3);
    }

    private void join(final VmEntry vm, final long seed) {
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport transport = network.join(vm.id(), loop);
        final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        final CatalogueReplica replica = new CatalogueReplica(invariants, registry);
        final Freshness freshness = new Freshness(loop.timer());
        final CatalogueGossip gossip = new CatalogueGossip(
                vm.id(), transport, loop.timer(), () -> vms, replica, freshness, new Random(seed), registry);
        gossip.start();
        new HeadWatcher(
                        vm.id(),
                        new FakeKeyValueStore(service, vm.id(), loop),
                        loop.timer(),
                        () -> vms,
                        replica,
                        freshness)
                .start();
        nodes.put(vm.id(), new Node(loop, transport, replica, freshness, gossip));
    }

    private void apply(final Catalogue catalogue) {
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        new CatalogueRepository(
                        new FakeKeyValueStore(service, new VmId("operator"), loop), loop.timer(), () -> "w" + ++writes)
                .apply(catalogue, Optional.empty())
                .test();
    }

    private boolean isInForceOnAllVms(final long revision) {
        return nodes.values().stream()
                .allMatch(node -> node.replica().revision().value() >= revision);
    }

    private long messages() {
        return nodes.values().stream()
                .mapToLong(node -> node.transport().messagesSent())
                .sum();
    }

    private void advanceSeconds(final int count) {
        clock.advanceTimeBy(count, TimeUnit.SECONDS);
    }

    /** The components of one VM. */
    private record Node(
            FakeDecisionLoop loop,
            FakePeerTransport transport,
            CatalogueReplica replica,
            Freshness freshness,
            CatalogueGossip gossip) {}
}
