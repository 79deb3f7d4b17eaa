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
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.serving.admission.RateSlack;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.FakeTarget;
import org.balsambank.core.serving.placement.Order;
import org.balsambank.core.serving.placement.OrderResult;
import org.balsambank.core.serving.placement.TargetOrderClient;
import org.balsambank.core.serving.placement.TargetStatus;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.plan.RepeatPolicy;
import org.balsambank.core.serving.plan.Route;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.serving.plan.WeightedService;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * A few VMs that serve, the key-value service, links and targets, all in virtual time.
 *
 * <p>Confined to one thread.
 */
final class TestFleet {
    static final BaseModel MODEL = new BaseModel("m");
    static final ServiceName ENGINES = new ServiceName("engines");
    static final ServiceName PLAIN = new ServiceName("plain");
    static final String HOST = "h.example";
    static final String KEY = "key-1";

    private static final int PLACES = 6;

    final TestScheduler clock = new TestScheduler();
    final FakeKeyValueService service = new FakeKeyValueService(clock, 1);
    final FakePeerNetwork network = new FakePeerNetwork(clock, 2);
    final Map<VmId, Vm> vms = new LinkedHashMap<>();
    final Map<TargetId, FakeTarget> runners = new LinkedHashMap<>();
    final TestEntryParser facts = new TestEntryParser();
    final List<FakeAttempt> sends = new ArrayList<>();
    long wallSkewMillis;

    private final int domains;
    private final FakeDecisionLoop operatorLoop = new FakeDecisionLoop(clock);
    private final FakeKeyValueStore operator = new FakeKeyValueStore(service, new VmId("operator"), operatorLoop);
    private final Map<TargetId, TargetAnnouncement> entries = new HashMap<>();

    TestFleet(final int vmCount, final int runnerCount) {
        this(vmCount, 1, runnerCount);
    }

    TestFleet(final int vmCount, final int domains, final int runnerCount) {
        this.domains = domains;
        for (int i = 0; i < vmCount; i++) {
            start(vm(i));
        }
        plan(1, List.of(KEY), 1_000_000);
        for (int i = 0; i < runnerCount; i++) {
            announce(engine(i, 1, false));
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
        vms.put(id, new Vm(id));
    }

    /** Ends a VM at once, as a kill does. */
    void kill(final VmId id) {
        vms.remove(id).kill();
    }

    void plan(final long version, final List<String> keys, final double tokensPerSecond) {
        final EngineSpec spec =
                new EngineSpec(64, 100_000, PLACES, 1_000, 4, List.of(new ModelSpec(MODEL, 900, 1_000)));
        final List<ServiceSpec> services = List.of(
                new ServiceSpec(ENGINES, 0, 3_000, 8, Optional.of(spec)),
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
        put(
                "plan",
                new EntryUpdate.PlanUpdate(
                        new ServingPlan(version, routes, services, List.of(team), CallerBounds.DEFAULT)));
    }

    private static Route route(
            final String path,
            final RepeatPolicy rule,
            final ServiceName service,
            final int attempts,
            final boolean open) {
        return new Route(
                "r" + path,
                HOST,
                path,
                rule,
                false,
                5_000,
                1_000,
                400,
                1,
                attempts,
                open,
                List.of(new WeightedService(service, 1)));
    }

    TargetAnnouncement engine(final int number, final long born, final boolean leaving) {
        return entry("t" + number, ENGINES, number, born, leaving);
    }

    TargetAnnouncement plain(final int number, final boolean leaving) {
        return entry("p" + number, PLAIN, number, 1, leaving);
    }

    private static TargetAnnouncement entry(
            final String id, final ServiceName service, final int number, final long born, final boolean leaving) {
        return new TargetAnnouncement(
                new TargetId(id),
                service,
                "127.0.0.1",
                number + 1,
                new FailureDomain("d" + number % 2),
                service.equals(ENGINES) ? 64 : 6,
                leaving,
                0,
                born,
                service.equals(ENGINES) ? List.of(MODEL) : List.of(),
                Map.of());
    }

    void announce(final TargetAnnouncement entry) {
        final TargetAnnouncement before = entries.put(entry.id(), entry);
        if (before == null || before.startedMillis() != entry.startedMillis()) {
            runners.put(entry.id(), new FakeTarget(clock, entry.port(), PLACES, MODEL));
        }
        put("target/" + entry.id(), new EntryUpdate.TargetUpdate(entry.id(), Optional.of(entry)));
    }

    void put(final String key, final EntryUpdate fact) {
        operator.read(key)
                .map(known -> known.map(KeyValueEntry::revision).orElse(0L))
                .flatMap(revision -> operator.compareAndSwap(key, revision, facts.write(fact), Optional.empty()))
                .subscribe(revision -> {}, error -> {
                    throw new IllegalStateException(error);
                });
        advance(50);
    }

    void remove(final String key) {
        operator.read(key)
                .flatMapCompletable(
                        known -> operator.delete(key, known.orElseThrow().revision()))
                .subscribe();
        advance(50);
    }

    /** Sends a request to a VM. */
    FakeCaller call(final VmId vm, final String path, final Optional<AdapterKey> adapter, final long tokens) {
        final FakeCaller caller = new FakeCaller();
        final Vm entry = vms.get(vm);
        final RequestAttributes call = new RequestAttributes(
                new RequestId("r" + sends.size() + "-" + clock.now(TimeUnit.NANOSECONDS)),
                HOST,
                path + "x",
                Optional.of(KEY),
                adapter.map(AdapterKey::model),
                adapter,
                tokens,
                10,
                true,
                4_000,
                entry.loop.timer().nanoTime(),
                new Fingerprint("f" + path + tokens));
        caller.run = entry.core.newRequest(call, caller, (outgoing, listener) -> {
            final FakeAttempt send = new FakeAttempt(vm, outgoing, listener);
            sends.add(send);
            return send;
        });
        caller.run.start();
        return caller;
    }

    FakeAttempt lastSend() {
        return sends.get(sends.size() - 1);
    }

    /** One VM. */
    final class Vm {
        final VmId id;
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport link;
        final ServingCore core;
        private final Disposable running;

        Vm(final VmId id) {
            this.id = id;
            link = network.join(id, loop);
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
                    Duration.ofSeconds(8));
            core = new ServingCore(
                    settings,
                    new FakeKeyValueStore(service, id, loop),
                    facts,
                    new Orders(),
                    link,
                    loop.timer(),
                    () -> clock.now(TimeUnit.MILLISECONDS) + wallSkewMillis,
                    DecisionLog.NONE,
                    new SimpleMeterRegistry());
            running = core.run().subscribe(() -> {}, error -> {
                throw new IllegalStateException(error);
            });
        }

        void kill() {
            loop.kill();
            network.cutOff(id, true);
            service.cutOff(id, true);
            running.dispose();
        }
    }

    /** Passes orders to the fake targets. */
    private final class Orders implements TargetOrderClient {
        @Override
        public Single<OrderResult> send(final TargetAnnouncement target, final Order order) {
            return runners.get(target.id()).send(target, order);
        }

        @Override
        public Single<TargetStatus> readStatus(final TargetAnnouncement target) {
            return runners.get(target.id()).readStatus(target);
        }
    }
}
