package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/** Fixture with targets, simulated engines and gates in virtual time. Confined to one thread. */
final class TargetFixture implements TargetClient, CatalogueSource {
    static final int ADAPTERS = 40;
    static final int CONCURRENCY = 8;
    static final int SLOTS = 3;
    static final TeamId TEAM = new TeamId("team-0");

    private static final BaseModel MODEL = new BaseModel("base");
    private static final Duration DEADLINE = Duration.ofSeconds(30);

    final TestScheduler scheduler = new TestScheduler();
    final TimerService timers = SchedulerTimerService.ofVirtual(scheduler);
    final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    final Map<TargetId, FakeEngine> engines = new HashMap<>();
    final List<String> outcomes = new ArrayList<>();
    final LocalLoadSlots slots = new LocalLoadSlots(timers, invariants);
    final PoisonRequestRegistry poison = new PoisonRequestRegistry(timers);
    final CrashTrials trials = new LocalCrashTrials(poison);
    /** What all engines say of themselves in their responses. */
    TargetNotice notice = TargetNotice.NONE;
    /** Whether the engines reject all requests. */
    boolean rejecting;

    private final BehaviorProcessor<Catalogue> catalogues;
    private int requests;

    TargetFixture(final int targets, final boolean fencing) {
        catalogues = BehaviorProcessor.createDefault(catalogue(targets, fencing));
        current().targets().forEach((id, target) -> engines.put(id, new FakeEngine(target, timers)));
    }

    static AdapterRef adapter(final int number) {
        return new AdapterRef(new AdapterId("adapter-" + number), new AdapterVersion("1"));
    }

    static TargetId target(final int number) {
        return new TargetId("target-" + number);
    }

    /** Creates a gate and starts it. */
    OwnedTargetGate gate(final Ownership ownership) {
        final OwnedTargetGate gate = new OwnedTargetGate(
                ownership, this, this, timers, slots, poison, trials, invariants, new SimpleMeterRegistry());
        gate.run().subscribe();
        return gate;
    }

    void advance(final Duration duration) {
        scheduler.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS);
    }

    FakeEngine engine(final int number) {
        return engines.get(target(number));
    }

    AdmissionRequest request(final int target, final int adapter) {
        return request(target, adapter, TrafficClass.NORMAL, "print-" + requests++, DEADLINE);
    }

    AdmissionRequest request(
            final int target,
            final int adapter,
            final TrafficClass trafficClass,
            final String print,
            final Duration deadline) {
        return new AdmissionRequest(
                target(target),
                Optional.of(adapter(adapter)),
                TEAM,
                trafficClass,
                new Fingerprint(print),
                timers.nanoTime() + deadline.toNanos());
    }

    /** Runs a request and adds the name of its outcome or error kind to {@link #outcomes}. */
    Disposable run(final OwnedTargetGate gate, final AdmissionRequest request) {
        return gate.acquire(request)
                .flatMap(permit -> Single.using(
                        () -> permit,
                        acquired -> send(acquired, request).doOnSuccess(acquired::release),
                        acquired -> acquired.release(TargetOutcome.CANCELLED),
                        false))
                .subscribe(outcome -> outcomes.add(outcome.name()), error -> outcomes.add(kind(error)));
    }

    long count(final String outcome) {
        return outcomes.stream().filter(outcome::equals).count();
    }

    List<String> violations() {
        final List<String> all = new ArrayList<>(invariants.violations());
        engines.forEach(
                (id, engine) -> engine.violations.forEach(violation -> all.add("target=" + id + " " + violation)));
        return all;
    }

    void domainOut(final Set<FailureDomain> domains) {
        final Catalogue now = current();
        catalogues.onNext(new Catalogue(
                new Revision(now.revision().value() + 1),
                now.teams(),
                now.adapters(),
                now.targets(),
                now.services(),
                domains,
                now.vmsOut()));
    }

    @Override
    public Catalogue current() {
        return catalogues.getValue();
    }

    @Override
    public Flowable<Catalogue> changes() {
        return catalogues;
    }

    @Override
    public Flowable<RelayEvent> send(final Target target, final Epoch epoch, final RelayRequest request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Single<TargetReport> report(final Target target) {
        return engines.get(target.id()).report();
    }

    @Override
    public Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return engines.get(target.id()).load(epoch, adapter);
    }

    @Override
    public Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return engines.get(target.id()).evict(epoch, adapter);
    }

    private Single<TargetOutcome> send(final TargetPermit permit, final AdmissionRequest request) {
        return permit.epochToSend()
                .map(epoch -> rejecting
                        ? Single.just(TargetOutcome.REFUSED)
                        : engines.get(request.target())
                                .run(epoch, request.adapter().orElse(null), request.fingerprint()))
                .orElse(Single.just(TargetOutcome.NOT_SENT))
                .doOnSuccess(outcome -> permit.noticed(notice, outcome == TargetOutcome.REFUSED));
    }

    private static String kind(final Throwable error) {
        return error instanceof BalsambankException known ? known.kind().name() : error.toString();
    }

    private static Catalogue catalogue(final int targets, final boolean fencing) {
        final Map<TargetId, Target> targetMap = new HashMap<>();
        for (int i = 0; i < targets; i++) {
            targetMap.put(target(i), engineTarget(i, fencing));
        }
        final Map<AdapterId, Adapter> adapters = new HashMap<>();
        for (int i = 0; i < ADAPTERS; i++) {
            final AdapterRef ref = adapter(i);
            adapters.put(
                    ref.adapter(),
                    new Adapter(
                            ref.adapter(),
                            List.of(ref.version()),
                            TEAM,
                            Set.of(TEAM),
                            TrafficClass.NORMAL,
                            MODEL,
                            false));
        }
        final Team team = new Team(TEAM, new RateLimit(RateUnit.REQUESTS, 1, 1), 1, List.of());
        return new Catalogue(new Revision(1), Map.of(TEAM, team), adapters, targetMap, Map.of(), Set.of(), Set.of());
    }

    private static Target engineTarget(final int number, final boolean fencing) {
        return new Target(
                target(number),
                TargetKind.MODEL_RUNNER,
                "127.0.0.1",
                1 + number,
                new FailureDomain("domain-" + number % 4),
                Optional.of(MODEL),
                Optional.empty(),
                CONCURRENCY,
                SLOTS,
                fencing,
                false);
    }
}
