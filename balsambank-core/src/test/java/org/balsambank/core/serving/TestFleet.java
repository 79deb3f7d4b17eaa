package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.serving.admission.RateSlack;
import org.balsambank.core.serving.duty.DutySettings;
import org.balsambank.core.serving.duty.FakeDutyApi;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.FakeTarget;
import org.balsambank.core.serving.placement.Order;
import org.balsambank.core.serving.placement.OrderResult;
import org.balsambank.core.serving.placement.TargetOrderClient;
import org.balsambank.core.serving.placement.TargetStatus;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.MemorySize;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.plan.RepeatPolicy;
import org.balsambank.core.serving.plan.Route;
import org.balsambank.core.serving.plan.ScalingSpec;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.serving.plan.WeightedService;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * A fleet of VMs with a key-value service, peer links and targets, all simulated in virtual time.
 *
 * <p>Confined to one thread.
 */
final class TestFleet {
    static final BaseModel MODEL = new BaseModel("m");
    static final ServiceName ENGINES = new ServiceName("engines");
    static final ServiceName PLAIN = new ServiceName("plain");
    static final String HOST = "h.example";
    static final String KEY = "key-1";

    private static final int ADAPTER_SLOTS = 6;

    final TestScheduler clock = new TestScheduler();
    final FakeKeyValueService store = new FakeKeyValueService(clock, 1);
    final FakePeerNetwork network = new FakePeerNetwork(clock, 2);
    final Map<VmId, Vm> vms = new LinkedHashMap<>();
    final Map<TargetId, FakeTarget> targets = new LinkedHashMap<>();
    final TestEntryParser parser = new TestEntryParser();
    final List<FakeAttempt> attempts = new ArrayList<>();
    final OrderRules orders = new OrderRules();
    long wallSkewMillis;
    final Map<VmId, Long> vmSkewMillis = new HashMap<>();
    final FakeDutyApi dutyApi = new FakeDutyApi(clock);
    private int uniqueRequests;
    private double adapterMegabytes = 10;

    private final Optional<DutySettings> duties;

    private final int domains;
    private final FakeDecisionLoop operatorLoop = new FakeDecisionLoop(clock);
    private final FakeKeyValueStore operator = new FakeKeyValueStore(store, new VmId("operator"), operatorLoop);
    private final Map<TargetId, TargetAnnouncement> announcements = new HashMap<>();

    TestFleet(final int vmCount, final int targetCount) {
        this(vmCount, 1, targetCount);
    }

    TestFleet(final int vmCount, final int domains, final int targetCount) {
        this(vmCount, domains, targetCount, Optional.empty());
    }

    TestFleet(final int vmCount, final int domains, final int targetCount, final Optional<DutySettings> duties) {
        this.domains = domains;
        this.duties = duties;
        for (int i = 0; i < vmCount; i++) {
            start(vm(i));
        }
        writePlan(1, List.of(KEY), 1_000_000);
        for (int i = 0; i < targetCount; i++) {
            announce(engineTarget(i, 1, false));
        }
        advance(6_000);
    }

    static VmId vm(final int number) {
        return new VmId("vm" + number);
    }

    static AdapterKey adapter(final int number) {
        return new AdapterKey(MODEL, new AdapterId("a" + number));
    }

    void advance(final long millis) {
        clock.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    void start(final VmId id) {
        dutyApi.cutOff(id, false);
        vms.put(id, new Vm(id));
    }

    /** Stops a VM abruptly, without shutdown. */
    void kill(final VmId id) {
        vms.remove(id).kill();
    }

    /** Kills all VMs at the same moment, and starts them again. */
    void restartAll() {
        final List<VmId> all = List.copyOf(vms.keySet());
        all.forEach(this::kill);
        all.forEach(vm -> {
            store.cutOff(vm, false);
            network.cutOff(vm, false);
            start(vm);
        });
    }

    /** Sets the memory that an adapter takes in plans written from now on; a target has 100 MB for all of them. */
    void setAdapterMegabytes(final double megabytes) {
        adapterMegabytes = megabytes;
    }

    void writePlan(final long version, final List<String> keys, final double tokensPerSecond) {
        targets.values().forEach(target -> target.setSpec(engineSpec()));
        final List<ServiceSpec> services = List.of(
                new ServiceSpec(
                        ENGINES,
                        0,
                        3_000,
                        8,
                        Optional.of(engineSpec()),
                        duties.map(each -> new ScalingSpec(2, 9, 8_000))),
                new ServiceSpec(PLAIN, 0, 0, 0, Optional.empty()));
        final List<Route> routes = List.of(
                route("/stream/", RepeatPolicy.STREAM, ENGINES, 1, false),
                route("/unsafe/", RepeatPolicy.UNSAFE, PLAIN, 1, false),
                route("/safe/", RepeatPolicy.SAFE, PLAIN, 2, false),
                route("/open/", RepeatPolicy.SAFE, PLAIN, 1, true));
        final TeamSpec team = new TeamSpec(
                new TeamId("team"),
                keys,
                Optional.empty(),
                Optional.of(new RateLimit(RateUnit.TOKENS, tokensPerSecond, tokensPerSecond)),
                200);
        writeEntry(
                "plan",
                new EntryUpdate.PlanUpdate(
                        new ServingPlan(version, routes, services, List.of(team), CallerBounds.DEFAULT)));
    }

    private EngineSpec engineSpec() {
        return new EngineSpec(
                64,
                100_000,
                ADAPTER_SLOTS,
                MemorySize.available(1_000),
                4,
                List.of(new ModelSpec(MODEL, MemorySize.needed(900), MemorySize.needed(adapterMegabytes), 1_000)));
    }

    private static Route route(
            final String path,
            final RepeatPolicy repeatPolicy,
            final ServiceName service,
            final int attempts,
            final boolean anonymous) {
        return new Route(
                "r" + path,
                HOST,
                path,
                repeatPolicy,
                false,
                5_000,
                1_000,
                400,
                1,
                attempts,
                anonymous,
                List.of(new WeightedService(service, 1)));
    }

    TargetAnnouncement engineTarget(final int number, final long startedMillis, final boolean draining) {
        return announcement("t" + number, ENGINES, number, startedMillis, draining);
    }

    TargetAnnouncement plainTarget(final int number, final boolean draining) {
        return announcement("p" + number, PLAIN, number, 1, draining);
    }

    TargetAnnouncement plainTarget(final int number, final long startedMillis) {
        return announcement("p" + number, PLAIN, number, startedMillis, false);
    }

    private static TargetAnnouncement announcement(
            final String id,
            final ServiceName service,
            final int number,
            final long startedMillis,
            final boolean draining) {
        return new TargetAnnouncement(
                new TargetId(id),
                service,
                "127.0.0.1",
                number + 1,
                new FailureDomain("d" + number % 2),
                service.equals(ENGINES) ? 64 : 6,
                draining,
                0,
                startedMillis,
                service.equals(ENGINES) ? List.of(MODEL) : List.of(),
                Map.of());
    }

    void announce(final TargetAnnouncement announcement) {
        final TargetAnnouncement previous = announcements.put(announcement.id(), announcement);
        if (previous == null || previous.startedMillis() != announcement.startedMillis()) {
            final FakeTarget target = new FakeTarget(clock, announcement.port(), ADAPTER_SLOTS, MODEL);
            target.setSpec(engineSpec());
            targets.put(announcement.id(), target);
        }
        writeEntry(
                "target/" + announcement.id(),
                new EntryUpdate.TargetUpdate(announcement.id(), Optional.of(announcement)));
    }

    void writeEntry(final String key, final EntryUpdate update) {
        operator.read(key)
                .map(known -> known.map(KeyValueEntry::revision).orElse(0L))
                .flatMap(revision -> operator.compareAndSwap(key, revision, parser.register(update), Optional.empty()))
                .subscribe(revision -> {}, error -> {
                    throw new IllegalStateException(error);
                });
        advance(50);
    }

    /** Returns the number of keys with a prefix. */
    long storedKeys(final String prefix) {
        final List<KeyValueEntry> found = new ArrayList<>();
        operator.list(prefix).subscribe(snapshot -> found.addAll(snapshot.entries()));
        advance(50);
        return found.size();
    }

    void removeEntry(final String key) {
        operator.read(key)
                .flatMapCompletable(
                        known -> operator.delete(key, known.orElseThrow().revision()))
                .subscribe();
        advance(50);
    }

    /** Sends a request to a VM; its attempts are appended to the list of attempts. */
    FakeCaller sendRequest(final VmId vm, final String path, final Optional<AdapterKey> adapter, final long tokens) {
        return sendRequest(vm, path, adapter, tokens, new Fingerprint("f" + path + tokens), List.of());
    }

    /** Sends a request that no other one equals, with some shared parts in its prompt. */
    FakeCaller sendUniqueRequest(final VmId vm, final String path, final long tokens, final List<PromptPartId> parts) {
        return sendRequest(vm, path, Optional.empty(), tokens, new Fingerprint("u" + ++uniqueRequests), parts);
    }

    private FakeCaller sendRequest(
            final VmId vm,
            final String path,
            final Optional<AdapterKey> adapter,
            final long tokens,
            final Fingerprint fingerprint,
            final List<PromptPartId> parts) {
        final FakeCaller caller = new FakeCaller();
        final Vm receiver = vms.get(vm);
        final RequestAttributes attributes = new RequestAttributes(
                new RequestId("r" + attempts.size() + "-" + clock.now(TimeUnit.NANOSECONDS)),
                HOST,
                path + "x",
                Optional.of(KEY),
                adapter.map(AdapterKey::model),
                adapter,
                tokens,
                10,
                true,
                4_000,
                receiver.loop.timer().nanoTime(),
                fingerprint,
                parts);
        caller.request = receiver.core.newRequest(attributes, caller, (outgoing, listener) -> {
            final FakeAttempt attempt = new FakeAttempt(vm, outgoing, parts, fingerprint, listener);
            attempts.add(attempt);
            return attempt;
        });
        caller.request.start();
        return caller;
    }

    FakeAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** A VM of the fleet. */
    final class Vm {
        final VmId id;
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport transport;
        final FakeKeyValueStore store;
        final ServingCore core;
        final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
        private final Disposable running;

        Vm(final VmId id) {
            this.id = id;
            transport = network.join(id, loop);
            store = new FakeKeyValueStore(TestFleet.this.store, id, loop);
            final ServingSettings settings = new ServingSettings(
                    id,
                    new FailureDomain("d" + Integer.parseInt(id.value().substring(2)) % domains),
                    "127.0.0.1",
                    1,
                    0.2,
                    54,
                    new RateSlack(0.1, 0),
                    1.5,
                    5,
                    Duration.ofSeconds(8),
                    duties);
            core = new ServingCore(
                    settings,
                    store,
                    parser,
                    new Orders(),
                    dutyApi.client(id, loop),
                    transport,
                    loop.timer(),
                    () -> clock.now(TimeUnit.MILLISECONDS) + wallSkewMillis + vmSkewMillis.getOrDefault(id, 0L),
                    DecisionLog.NONE,
                    metrics);
            running = core.run().subscribe(() -> {}, error -> {
                throw new IllegalStateException(error);
            });
        }

        void kill() {
            loop.kill();
            network.cutOff(id, true);
            TestFleet.this.store.cutOff(id, true);
            dutyApi.cutOff(id, true);
            running.dispose();
        }
    }

    /** Forwards orders to the fake targets. */
    private final class Orders implements TargetOrderClient {
        @Override
        public Single<OrderResult> send(final TargetAnnouncement target, final Order order) {
            return Single.defer(() -> {
                orders.record(target.id(), order, clock.now(TimeUnit.MILLISECONDS));
                return targets.get(target.id()).send(target, order);
            });
        }

        @Override
        public Single<TargetStatus> readStatus(final TargetAnnouncement target) {
            return targets.get(target.id()).readStatus(target);
        }
    }
}
