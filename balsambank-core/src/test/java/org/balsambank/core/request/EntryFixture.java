package org.balsambank.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.opentelemetry.api.OpenTelemetry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.KeyHash;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.KeyId;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.idempotency.NaiveIdempotencyGate;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.target.AdmissionRequest;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.core.target.TargetPermit;
import org.balsambank.core.target.TargetSelector;
import org.balsambank.core.team.RateGate;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * Fixture with one VM that is both entry VM and owner of all targets, and fake dependencies. Confined to one thread.
 */
final class EntryFixture {
    static final String KEY = "secret";
    static final String SALT = "5a17";
    static final TeamId TEAM = new TeamId("ribera");
    static final TargetId FIRST = new TargetId("runner-1");
    static final TargetId SECOND = new TargetId("runner-2");
    static final ServiceName SERVICE = new ServiceName("printing");
    static final AdapterRef ADAPTER = AdapterRef.parse("sorting@3");
    static final Duration DEADLINE = Duration.ofSeconds(30);

    final TestScheduler scheduler = new TestScheduler();
    final TimerService timer = SchedulerTimerService.ofVirtual(scheduler);
    final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    final InvariantMonitor invariants = new InvariantMonitor(registry);
    final ScriptedTargets targets = new ScriptedTargets();
    final List<TargetOutcome> released = new ArrayList<>();
    final List<TargetNotice> notices = new ArrayList<>();
    final List<Double> settled = new ArrayList<>();
    final BehaviorProcessor<Catalogue> catalogues = BehaviorProcessor.createDefault(catalogue(1, List.of(SALT)));
    final InFlightCounter inFlight = new InFlightCounter(registry, "entry");
    IdempotencyGate idempotency = new NaiveIdempotencyGate();
    Function<AdmissionRequest, Single<TargetPermit>> gate = request -> Single.just(permit(Optional.of(new Epoch(1))));
    RateGate rates = (team, units) -> Single.just(settled::add);
    List<TargetId> order = List.of(FIRST, SECOND);
    PeerTransport peers = new LocalLink();
    Optional<BalsambankException> rejection = Optional.empty();
    Optional<VmId> owner = Optional.of(new VmId("vm-1"));

    RequestPipeline pipeline() {
        final Spans spans = new Spans(OpenTelemetry.noop().getTracer("test"));
        new RelayDispatcher(
                        source(),
                        request -> gate.apply(request),
                        targets,
                        timer,
                        invariants,
                        spans,
                        new InFlightCounter(registry, "owner"))
                .register(peers);
        final EntryPorts ports = new EntryPorts(
                source(),
                this::authenticate,
                (team, units) -> rates.admit(team, units),
                idempotency,
                new OrderedSelector(),
                new SingleOwner(),
                peers,
                timer,
                invariants,
                new RetryPolicy(new RetryBudget(), new Random(1), registry),
                spans);
        return new RequestPipeline(ports, inFlight, registry);
    }

    TargetPermit permit(final Optional<Epoch> epoch) {
        return new TargetPermit() {
            @Override
            public Optional<Epoch> epochToSend() {
                return epoch;
            }

            @Override
            public void noticed(final TargetNotice notice, final boolean rejected) {
                notices.add(notice);
            }

            @Override
            public void release(final TargetOutcome outcome) {
                released.add(outcome);
            }
        };
    }

    CallerRequest completion(final String id, final boolean streaming) {
        return request(
                id, new RequestSubject.AdapterCall("sorting"), streaming, Optional.empty(), "{\"temperature\":0}");
    }

    CallerRequest printRequest(final String id, final Optional<String> idempotencyKey) {
        return request(
                id,
                new RequestSubject.ServiceCall(SERVICE, "/print"),
                false,
                idempotencyKey.map(IdempotencyKey::new),
                "ticket");
    }

    CallerRequest request(
            final String id,
            final RequestSubject subject,
            final boolean streaming,
            final Optional<IdempotencyKey> idempotencyKey,
            final String body) {
        return new CallerRequest(
                new RequestId(id),
                Optional.of(KEY),
                subject,
                "POST",
                "/v1/completions",
                List.of(),
                ByteString.copyFromUtf8(body),
                streaming,
                100,
                0,
                idempotencyKey,
                timer.nanoTime() + DEADLINE.toNanos(),
                "");
    }

    void advance(final Duration time) {
        scheduler.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    static Catalogue catalogue(final long revision, final List<String> salts) {
        final BaseModel base = new BaseModel("base");
        final Adapter adapter = new Adapter(
                ADAPTER.adapter(), List.of(ADAPTER.version()), TEAM, Set.of(TEAM), TrafficClass.NORMAL, base, false);
        final Team team = new Team(
                TEAM,
                new RateLimit(RateUnit.TOKENS, 100, 1000),
                1,
                salts.stream().map(salt -> new KeyHash(salt, salt, salt)).toList());
        final PlainService service = new PlainService(
                SERVICE,
                TEAM,
                Set.of(TEAM),
                TrafficClass.URGENT,
                List.of(new ServiceRoute("POST", "/status", true, false)));
        final Map<TargetId, Target> targets = new HashMap<>();
        for (final TargetId id : List.of(FIRST, SECOND)) {
            targets.put(
                    id,
                    new Target(
                            id,
                            TargetKind.MODEL_RUNNER,
                            "127.0.0.1",
                            1,
                            new FailureDomain("d"),
                            Optional.of(base),
                            Optional.of(SERVICE),
                            4,
                            4,
                            true,
                            false));
        }
        return new Catalogue(
                new Revision(revision),
                Map.of(TEAM, team),
                Map.of(adapter.id(), adapter),
                targets,
                Map.of(SERVICE, service),
                Set.of(),
                Set.of());
    }

    private CatalogueSource source() {
        return new CatalogueSource() {
            @Override
            public Catalogue current() {
                return catalogues.getValue();
            }

            @Override
            public Flowable<Catalogue> changes() {
                return catalogues;
            }
        };
    }

    private Caller authenticate(final CallerRequest request, final Catalogue catalogue) throws BalsambankException {
        if (rejection.isPresent()) {
            throw rejection.get();
        }
        if (!request.key().equals(Optional.of(KEY))) {
            throw new BalsambankException(ErrorKind.UNAUTHENTICATED, "no such key");
        }
        return new Caller(TEAM, Optional.of(new KeyId(SALT)));
    }

    /** Returns the targets in the order set in the fixture. */
    private final class OrderedSelector implements TargetSelector {
        @Override
        public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
            return order.stream().map(catalogue.targets()::get).toList();
        }

        @Override
        public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
            return order.stream().map(catalogue.targets()::get).toList();
        }

        @Override
        public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {}
    }

    /** Assigns all partitions to one VM. */
    private final class SingleOwner implements Ownership {
        @Override
        public PartitionId partitionOf(final SubjectKind kind, final String id) {
            return new PartitionId(0);
        }

        @Override
        public Optional<VmId> ownerOf(final PartitionId partition) {
            return owner;
        }

        @Override
        public Optional<Epoch> heldEpoch(final PartitionId partition) {
            return Optional.of(new Epoch(1));
        }

        @Override
        public Set<PartitionId> held() {
            return Set.of(new PartitionId(0));
        }

        @Override
        public Flowable<OwnershipChange> changes() {
            return Flowable.never();
        }
    }

    /** Passes every call to the handler of this VM. */
    static class LocalLink implements PeerTransport {
        private final Map<Integer, PeerHandler<?, ?>> handlers = new HashMap<>();

        @Override
        public <Q extends Message, A extends Message> Single<A> call(
                final VmId to, final PeerMethod<Q, A> method, final Q request, final Duration timeout) {
            return stream(to, method, request).firstOrError();
        }

        @Override
        @SuppressWarnings("unchecked")
        public <Q extends Message, A extends Message> Flowable<A> stream(
                final VmId to, final PeerMethod<Q, A> method, final Q request) {
            return deliver(((PeerHandler<Q, A>) handlers.get(method.number())).handle(to, request));
        }

        <A> Flowable<A> deliver(final Flowable<A> responses) {
            return responses;
        }

        @Override
        public <Q extends Message, A extends Message> void serve(
                final PeerMethod<Q, A> method, final PeerHandler<Q, A> handler) {
            handlers.put(method.number(), handler);
        }
    }
}
