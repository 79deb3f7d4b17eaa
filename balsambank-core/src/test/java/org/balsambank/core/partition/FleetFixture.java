package org.balsambank.core.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.fake.FakeVmList;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.port.VmEntry;

/**
 * Several VMs with partition ownership in virtual time. Each step checks that no partition has two owners and that no
 * epoch is held again after a later one. Confined to one thread; the same seed gives the same run.
 */
final class FleetFixture {
    static final Duration STEP = Duration.ofMillis(10);
    private static final int DOMAINS = 4;
    private static final double MAX_DRIFT = 0.01;

    final TestScheduler clock = new TestScheduler();
    final FakeKeyValueService service;
    final FakePeerNetwork network;
    final FakeVmList vmList = new FakeVmList(clock);
    final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    final Map<VmId, Vm> vms = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    final OwnershipSettings settings;
    Catalogue catalogue = Catalogue.EMPTY;
    private final Random random;
    private final List<SimpleMeterRegistry> registries = new ArrayList<>();
    private final Map<PartitionId, Holder> lastHolder = new HashMap<>();

    FleetFixture(final OwnershipSettings settings, final long seed) {
        this.settings = settings;
        service = new FakeKeyValueService(clock, seed);
        network = new FakePeerNetwork(clock, seed + 1);
        random = new Random(seed + 2);
    }

    static OwnershipSettings settings(final int partitions) {
        final OwnershipSettings small = OwnershipSettings.SMALL_FLEET;
        return new OwnershipSettings(
                partitions,
                small.leaseTimeToLive(),
                small.renewEvery(),
                small.leaseMargin(),
                small.takeOverMargin(),
                small.promiseFor(),
                small.promiseMargin(),
                small.scansPerSecond());
    }

    Vm start(final int number) {
        final VmId id = vm(number);
        final VmEntry entry =
                new VmEntry(id, new FailureDomain("domain-" + number % DOMAINS), "127.0.0.1", 7000 + number, false);
        vmList.put(entry);
        final Vm vm = new Vm(entry);
        vms.put(id, vm);
        return vm;
    }

    void startAll(final int count) {
        for (int i = 0; i < count; i++) {
            start(i);
        }
    }

    static VmId vm(final int number) {
        return new VmId("vm-" + number);
    }

    Vm get(final int number) {
        return vms.get(vm(number));
    }

    /** Takes VMs and failure domains out of service. */
    void setOutOfService(final Set<FailureDomain> domains, final Set<VmId> out) {
        catalogue = new Catalogue(
                new Revision(catalogue.revision().value() + 1), Map.of(), Map.of(), Map.of(), Map.of(), domains, out);
    }

    void run(final Duration duration) {
        final long end = clock.now(TimeUnit.NANOSECONDS) + duration.toNanos();
        while (clock.now(TimeUnit.NANOSECONDS) < end) {
            clock.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            checkOwners();
        }
    }

    /** Runs until all partitions are held; returns the time taken, or empty after the limit. */
    Optional<Duration> runUntilOwned(final Duration limit) {
        final long start = clock.now(TimeUnit.NANOSECONDS);
        while (clock.now(TimeUnit.NANOSECONDS) - start < limit.toNanos()) {
            if (heldCount() == settings.partitions()) {
                return Optional.of(Duration.ofNanos(clock.now(TimeUnit.NANOSECONDS) - start));
            }
            run(STEP);
        }
        return Optional.empty();
    }

    int heldCount() {
        return (int) vms.values().stream()
                .filter(vm -> !vm.loop.killed() && !vm.loop.paused())
                .mapToLong(vm -> vm.ownership.held().size())
                .sum();
    }

    /** Returns the sum of a counter over all VMs, including replaced ones. */
    double counterSum(final String counter, final String... tags) {
        return registries.stream()
                .mapToDouble(registry -> registry.counter(counter, tags).count())
                .sum();
    }

    /** Checks that each partition has at most one owner. A paused VM counts because it may resume at any time. */
    private void checkOwners() {
        for (int i = 0; i < settings.partitions(); i++) {
            final PartitionId partition = new PartitionId(i);
            Holder holder = null;
            for (final Vm vm : vms.values()) {
                final Optional<Epoch> epoch = vm.loop.killed() ? Optional.empty() : vm.ownership.heldEpoch(partition);
                if (epoch.isPresent()) {
                    final Holder other = new Holder(vm, epoch.get());
                    if (holder != null) {
                        violations.add(clock.now(TimeUnit.MILLISECONDS) + " ms: partition " + partition
                                + " has two owners: " + holder + " and " + other);
                    }
                    holder = other;
                }
            }
            if (holder != null) {
                checkEpoch(partition, holder);
            }
        }
    }

    private void checkEpoch(final PartitionId partition, final Holder holder) {
        final Holder last = lastHolder.put(partition, holder);
        if (last != null) {
            final int order = holder.epoch().compareTo(last.epoch());
            if (order < 0 || order == 0 && last.vm() != holder.vm()) {
                violations.add(clock.now(TimeUnit.MILLISECONDS) + " ms: partition " + partition + ": " + holder
                        + " after " + last);
            }
        }
    }

    /** A VM that holds a partition, with the epoch. */
    private record Holder(Vm vm, Epoch epoch) {
        @Override
        public String toString() {
            return vm.id() + "@" + epoch;
        }
    }

    /** One VM of the fleet. */
    final class Vm {
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport transport;
        final PartitionOwnership ownership;
        final List<OwnershipChange> changes = new ArrayList<>();
        private final VmEntry entry;
        private final Disposable running;

        private Vm(final VmEntry entry) {
            this.entry = entry;
            final SimpleMeterRegistry registry = new SimpleMeterRegistry();
            registries.add(registry);
            transport = network.join(entry.id(), loop);
            final double rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
            final OwnershipPorts ports = new OwnershipPorts(
                    new FakeKeyValueStore(service, entry.id(), loop),
                    vmList.on(loop),
                    transport,
                    source(),
                    loop.timer(rate),
                    new Random(random.nextLong()),
                    invariants,
                    registry);
            ownership = new PartitionOwnership(entry, Long.toHexString(random.nextLong()), settings, ports);
            ownership.changes().subscribe(changes::add);
            running = ownership.run().subscribe(() -> {}, error -> violations.add(id() + " failed: " + error));
        }

        VmId id() {
            return entry.id();
        }

        void kill() {
            loop.kill();
            running.dispose();
        }

        /** Starts a planned stop; the element of the result becomes true when the stop has completed. */
        boolean[] stop() {
            final boolean[] ended = new boolean[1];
            loop.scheduleDirect(() -> ownership.stop(Duration.ofSeconds(20)).subscribe(() -> {
                ended[0] = true;
                running.dispose();
            }));
            return ended;
        }

        private CatalogueSource source() {
            return new CatalogueSource() {
                @Override
                public Catalogue current() {
                    return catalogue;
                }

                @Override
                public Flowable<Catalogue> changes() {
                    return Flowable.never();
                }
            };
        }
    }
}
