package org.balsambank.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.opentelemetry.api.OpenTelemetry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.error.Executed;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.fake.FakeVmList;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.VmId;
import org.balsambank.core.idempotency.IdempotencyService;
import org.balsambank.core.idempotency.IdempotencySettings;
import org.balsambank.core.idempotency.PeerIdempotencyGate;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.partition.OwnershipPorts;
import org.balsambank.core.partition.OwnershipSettings;
import org.balsambank.core.partition.PartitionOwnership;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.target.TargetGate;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.core.target.TargetPermit;
import org.balsambank.core.target.TargetSelector;
import org.balsambank.core.time.SchedulerTimerService;

/**
 * Simulates a few VMs in virtual time, with random faults and callers that retry non-idempotent calls after every
 * error.
 *
 * <p>Confined to one thread. The same seed gives the same run.
 */
final class FleetSimulation {
    private static final int VMS = 4;
    private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(3);
    private static final long IN_PROGRESS_RETRY_MILLIS = 10_000;
    private static final Duration RECOVERY_TIME = Duration.ofMinutes(4);
    private static final IdempotencySettings IDEMPOTENCY_SETTINGS = new IdempotencySettings(
            8, Duration.ofMillis(25), Duration.ofHours(24), Duration.ofMinutes(1), 50_000, 4 << 10);

    final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    final InvariantMonitor invariants = new InvariantMonitor(registry);
    final Map<String, Integer> outcomes = new TreeMap<>();
    final List<String> falseNotRun = new ArrayList<>();
    final List<String> ranTwice = new ArrayList<>();
    final Set<String> undecided = new TreeSet<>();
    final List<String> unanswered = new ArrayList<>();
    int answered;
    private final TestScheduler clock = new TestScheduler();
    private final Random random;
    private final FakePeerNetwork network;
    private final FakeKeyValueService service;
    private final SimOwnership ownership = new SimOwnership(SchedulerTimerService.ofVirtual(clock));
    private final SimTargets targets;
    private final Map<VmId, Vm> vms = new HashMap<>();
    private final List<String> reportedNotRun = new ArrayList<>();
    private final Set<String> callsWithKey = new HashSet<>();
    private final boolean realOwnership;
    private final FakeVmList list;
    private int requests;
    private int starts;

    /**
     * Starts the fleet.
     *
     * @param seed the seed of all random choices
     * @param realOwnership true to use the real ownership protocol with leases and votes; false to assign partitions
     *     centrally, which moves them far more often
     */
    FleetSimulation(final long seed, final boolean realOwnership) {
        this.realOwnership = realOwnership;
        list = new FakeVmList(clock);
        random = new Random(seed);
        network = new FakePeerNetwork(clock, seed + 1);
        service = new FakeKeyValueService(clock, seed + 2);
        targets = new SimTargets(clock, seed + 3);
        for (int i = 0; i < VMS; i++) {
            start(new VmId("vm-" + i));
        }
        for (int i = 0; i < SimOwnership.PARTITIONS; i++) {
            ownership.assign(new PartitionId(i), new VmId("vm-" + i % VMS));
        }
        clock.advanceTimeBy(30, TimeUnit.SECONDS);
    }

    /**
     * Sends calls during the time span, with faults if requested, then lets the fleet recover and evaluates the run.
     */
    void run(final int calls, final Duration span, final boolean withFaults) {
        for (int i = 0; i < calls; i++) {
            final String call = "call-" + i;
            final boolean withKey = i % 5 != 0;
            if (withKey) {
                callsWithKey.add(call);
                undecided.add(call);
            }
            at(random.nextLong(span.toMillis()), () -> send(call, withKey));
        }
        if (withFaults) {
            injectFaults(span);
        }
        clock.advanceTimeBy(span.toMillis(), TimeUnit.MILLISECONDS);
        clearFaults();
        clock.advanceTimeBy(RECOVERY_TIME.toMillis(), TimeUnit.MILLISECONDS);
        evaluate();
    }

    private void evaluate() {
        callsWithKey.stream()
                .filter(call -> targets.runsByCall().getOrDefault(call, 0) > 1)
                .forEach(ranTwice::add);
        reportedNotRun.stream().filter(id -> targets.runs(id) > 0).forEach(falseNotRun::add);
    }

    private void send(final String call, final boolean withKey) {
        final Vm vm = vms.get(new VmId("vm-" + random.nextInt(VMS)));
        final String id = "request-" + requests++;
        if (vm.loop.killed()) {
            retryLater(call, 100);
            return;
        }
        final boolean[] ended = new boolean[1];
        vm.loop.scheduleDirect(() -> vm.pipeline
                .handle(request(vm, id, call, withKey))
                .subscribe(
                        event -> {},
                        error -> {
                            ended[0] = true;
                            failed(call, id, ((BalsambankException) error).kind());
                        },
                        () -> {
                            ended[0] = true;
                            answered++;
                            undecided.remove(call);
                        }));
        at(40_000, () -> {
            if (!ended[0]) {
                outcomes.merge("caller_gave_up", 1, Integer::sum);
                if (!vm.loop.killed()) {
                    unanswered.add(id);
                }
                retryLater(call, 100);
            }
        });
    }

    private void failed(final String call, final String id, final ErrorKind kind) {
        outcomes.merge(kind.code(), 1, Integer::sum);
        if (kind.executed() == Executed.NO) {
            reportedNotRun.add(id);
        }
        if (kind == ErrorKind.IDEMPOTENCY_UNKNOWN) {
            undecided.remove(call);
        }
        retryLater(call, kind == ErrorKind.IDEMPOTENCY_RUNNING ? IN_PROGRESS_RETRY_MILLIS : 100);
    }

    private void retryLater(final String call, final long delayMillis) {
        if (undecided.contains(call)) {
            at(delayMillis + random.nextInt(2_000), () -> send(call, true));
        }
    }

    private CallerRequest request(final Vm vm, final String id, final String call, final boolean withKey) {
        return new CallerRequest(
                new RequestId(id),
                Optional.of(EntryFixture.KEY),
                new RequestSubject.ServiceCall(EntryFixture.SERVICE, "/print"),
                "POST",
                "/print",
                List.of(),
                ByteString.copyFromUtf8(call),
                false,
                1,
                0,
                withKey ? Optional.of(new IdempotencyKey(call)) : Optional.empty(),
                vm.loop.timer().nanoTime() + Duration.ofSeconds(15).toNanos(),
                "");
    }

    private void injectFaults(final Duration span) {
        targets.faults = 0.02;
        service.answerLossRate(0.02);
        network.messageLossRate(0.002);
        for (long t = 1_000; t < span.toMillis(); t += 500 + random.nextInt(1_500)) {
            at(t, this::injectFault);
        }
    }

    private void injectFault() {
        final VmId vm = new VmId("vm-" + random.nextInt(VMS));
        final VmId other = new VmId("vm-" + random.nextInt(VMS));
        final long millis = 200 + random.nextInt(6_000);
        switch (random.nextInt(6)) {
            case 0:
                kill(vm, millis);
                break;
            case 1:
                pause(vm, millis);
                break;
            case 2:
                network.cut(vm, other, true);
                at(millis, () -> network.cut(vm, other, false));
                break;
            case 3:
                service.setOutage(true);
                at(millis, () -> service.setOutage(false));
                break;
            case 4:
                service.delay(Duration.ofMillis(5), Duration.ofMillis(900));
                at(millis, () -> service.delay(Duration.ofMillis(1), Duration.ofMillis(5)));
                break;
            default:
                ownership.assign(new PartitionId(random.nextInt(SimOwnership.PARTITIONS)), vm);
                break;
        }
    }

    private void kill(final VmId vm, final long downMillis) {
        final FakeDecisionLoop loop = vms.get(vm).loop;
        loop.kill();
        at(TAKEOVER_DELAY.toMillis(), () -> {
            if (loop.killed()) {
                takeOver(vm);
            }
        });
        at(downMillis, () -> {
            if (vms.get(vm).loop == loop) {
                start(vm);
            }
        });
    }

    private void pause(final VmId vm, final long millis) {
        final FakeDecisionLoop loop = vms.get(vm).loop;
        loop.pause();
        at(TAKEOVER_DELAY.toMillis(), () -> {
            if (loop.paused()) {
                takeOver(vm);
            }
        });
        at(millis, loop::resume);
    }

    private void takeOver(final VmId from) {
        for (int i = 0; i < SimOwnership.PARTITIONS; i++) {
            final PartitionId partition = new PartitionId(i);
            if (ownership.owner(partition).equals(from)) {
                ownership.assign(partition, new VmId("vm-" + random.nextInt(VMS)));
            }
        }
    }

    private void clearFaults() {
        targets.faults = 0;
        service.answerLossRate(0);
        network.messageLossRate(0);
    }

    private void start(final VmId id) {
        vms.put(id, new Vm(id));
    }

    private void at(final long millis, final Runnable action) {
        clock.scheduleDirect(action, millis, TimeUnit.MILLISECONDS);
    }

    /** One process on a VM. */
    private final class Vm {
        private final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        private final RequestPipeline pipeline;

        private Vm(final VmId id) {
            final FakePeerTransport peers = network.join(id, loop);
            final Ownership view = realOwnership ? partitions(id, peers) : ownership.view(id);
            final Spans spans = new Spans(OpenTelemetry.noop().getTracer("test"));
            final IdempotencyService records = new IdempotencyService(
                    id, view, new FakeKeyValueStore(service, id, loop), loop.timer(), registry, IDEMPOTENCY_SETTINGS);
            records.register(peers);
            loop.scheduleDirect(() -> records.run().subscribe());
            new RelayDispatcher(
                            source(),
                            gate(view),
                            targets.client(loop),
                            loop.timer(),
                            invariants,
                            spans,
                            new InFlightCounter(registry, "owner"))
                    .register(peers);
            pipeline = new RequestPipeline(
                    new EntryPorts(
                            source(),
                            (request, catalogue) -> new Caller(EntryFixture.TEAM, Optional.empty()),
                            (team, units) -> Single.just(used -> {}),
                            new PeerIdempotencyGate(id, starts++, view, peers, loop.timer(), IDEMPOTENCY_SETTINGS),
                            new AllTargets(),
                            view,
                            peers,
                            loop.timer(),
                            invariants,
                            new RetryPolicy(new RetryBudget(), random, registry),
                            spans),
                    new InFlightCounter(registry, "entry"),
                    registry);
        }

        private Ownership partitions(final VmId id, final FakePeerTransport peers) {
            final VmEntry self = new VmEntry(id, new FailureDomain("domain-" + id), "127.0.0.1", 1, false);
            list.put(self);
            final PartitionOwnership owned = new PartitionOwnership(
                    self,
                    "boot-" + starts,
                    OwnershipSettings.SMALL_FLEET,
                    new OwnershipPorts(
                            new FakeKeyValueStore(service, id, loop),
                            list.on(loop),
                            peers,
                            source(),
                            loop.timer(),
                            random,
                            invariants,
                            registry));
            loop.scheduleDirect(() -> supervised(owned.run()));
            return owned;
        }

        private void supervised(final Completable part) {
            part.retryWhen(errors -> errors.concatMap(
                            error -> loop.timer().after(Duration.ofMillis(500)).andThen(Flowable.just(true))))
                    .subscribe();
        }

        private TargetGate gate(final Ownership view) {
            return request -> Single.just(new TargetPermit() {
                @Override
                public Optional<Epoch> epochToSend() {
                    return view.heldEpoch(view.partitionOf(
                            SubjectKind.TARGET, request.target().value()));
                }

                @Override
                public void noticed(final TargetNotice notice, final boolean rejected) {}

                @Override
                public void release(final TargetOutcome outcome) {}
            });
        }
    }

    private static CatalogueSource source() {
        final Catalogue catalogue = EntryFixture.catalogue(1, List.of());
        return new CatalogueSource() {
            @Override
            public Catalogue current() {
                return catalogue;
            }

            @Override
            public Flowable<Catalogue> changes() {
                return Flowable.just(catalogue);
            }
        };
    }

    /** Returns all targets. */
    private static final class AllTargets implements TargetSelector {
        @Override
        public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
            return List.copyOf(catalogue.targets().values());
        }

        @Override
        public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
            return catalogue.targets().values().stream()
                    .sorted((a, b) -> a.id().compareTo(b.id()))
                    .toList();
        }

        @Override
        public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {}
    }
}
