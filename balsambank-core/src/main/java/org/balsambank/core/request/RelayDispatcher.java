package org.balsambank.core.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.opentelemetry.api.trace.Span;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.target.AdmissionRequest;
import org.balsambank.core.target.TargetGate;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.core.target.TargetPermit;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * Runs attempts on the VM that owns their target: waits for a permit, checks ownership, deadline and key again, and
 * sends the request.
 *
 * <p>Invariants: each permit is released exactly once; no request is sent after its deadline, after its key was
 * withdrawn, or without the current epoch of the target's partition. Confined to the decision loop.
 */
public final class RelayDispatcher implements PeerHandler<RelayRequest, RelayEvent> {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String QUEUE_SPAN = "queue";
    private static final String TARGET_HEADER = "X-Balsambank-Target";
    private static final String ADAPTER_HEADER = "X-Balsambank-Adapter";
    private static final String TARGET_SPAN = "target";

    private final CatalogueSource catalogues;
    private final TargetGate gate;
    private final TargetClient client;
    private final TimerService timer;
    private final InvariantMonitor invariants;
    private final Spans spans;
    private final InFlightCounter inFlight;

    /**
     * Creates a dispatcher.
     *
     * @param catalogues the source of the current configuration
     * @param gate admits requests to targets
     * @param client sends requests to targets
     * @param timer the timer service
     * @param invariants records violated invariants
     * @param spans opens trace spans
     * @param inFlight counts the in-flight attempts
     */
    public RelayDispatcher(
            final CatalogueSource catalogues,
            final TargetGate gate,
            final TargetClient client,
            final TimerService timer,
            final InvariantMonitor invariants,
            final Spans spans,
            final InFlightCounter inFlight) {
        this.catalogues = Objects.requireNonNull(catalogues);
        this.gate = Objects.requireNonNull(gate);
        this.client = Objects.requireNonNull(client);
        this.timer = Objects.requireNonNull(timer);
        this.invariants = Objects.requireNonNull(invariants);
        this.spans = Objects.requireNonNull(spans);
        this.inFlight = Objects.requireNonNull(inFlight);
    }

    /**
     * Registers the handler for relay calls from the other VMs and from this VM.
     *
     * @param peers the peer transport
     */
    public void register(final PeerTransport peers) {
        peers.serve(RelayMethods.RELAY, this);
    }

    @Override
    public Flowable<RelayEvent> handle(final VmId from, final RelayRequest request) {
        return Flowable.defer(() -> {
            inFlight.enter();
            return new Attempt(request).run().doFinally(inFlight::leave);
        });
    }

    /** One attempt. Confined to the decision loop. */
    private final class Attempt {
        private final RelayRequest request;
        private final RequestState state;
        private final long deadlineNanos;

        Attempt(final RelayRequest request) {
            this.request = request;
            this.state = new RequestState(new RequestId(request.getRequestId()), invariants);
            this.deadlineNanos = timer.nanoTime()
                    + Duration.ofMillis(request.getDeadlineMillis()).toNanos();
        }

        Flowable<RelayEvent> run() {
            return Flowable.defer(this::awaitPermit)
                    .doOnComplete(state::completed)
                    .onErrorResumeNext(error -> Flowable.error(endWithError(error)))
                    .doOnCancel(state::cancelled);
        }

        private BalsambankException endWithError(final Throwable failure) {
            final BalsambankException error = FailureMapper.of(failure);
            state.attemptFailed(error);
            return state.failed(error);
        }

        private Flowable<RelayEvent> awaitPermit() throws BalsambankException {
            final Target target = catalogues.current().targets().get(new TargetId(request.getTarget()));
            if (target == null) {
                throw new BalsambankException(ErrorKind.NO_TARGET, "no target " + request.getTarget());
            }
            final Span span = spans.open(QUEUE_SPAN, request.getTraceParent());
            return gate.acquire(admission(target))
                    .ambWith(deadline(ErrorKind.DEADLINE_BEFORE_RUN).toSingle(RelayDispatcher::deadlineWithoutError))
                    .doFinally(span::end)
                    .flatMapPublisher(permit -> send(target, permit));
        }

        private Flowable<RelayEvent> send(final Target target, final TargetPermit permit) {
            final Optional<Epoch> epoch = permit.epochToSend();
            final Optional<BalsambankException> rejection = rejection(epoch);
            if (rejection.isPresent()) {
                permit.release(TargetOutcome.NOT_SENT);
                return Flowable.error(rejection.get());
            }
            state.admitted();
            state.beginAttempt(false);
            final Span span = spans.open(TARGET_SPAN, request.getTraceParent());
            final RelayRequest sent = request.toBuilder()
                    .setTraceParent(Spans.traceParent(span, request.getTraceParent()))
                    .build();
            return client.send(target, epoch.get(), sent)
                    .doOnNext(event -> recordNotice(event, permit))
                    .doOnError(error -> recordNotice(error, permit))
                    .map(this::withTargetHeaders)
                    .doOnNext(event -> state.streaming())
                    .takeUntil(deadline(ErrorKind.DEADLINE_DURING_RUN).toFlowable())
                    .doOnComplete(() -> permit.release(TargetOutcome.COMPLETED))
                    .doOnError(error -> permit.release(outcome(FailureMapper.of(error))))
                    .doOnCancel(() -> permit.release(TargetOutcome.CANCELLED))
                    .doFinally(span::end);
        }

        private void recordNotice(final RelayEvent event, final TargetPermit permit) {
            if (event.hasHead()) {
                permit.noticed(
                        NoticeHeaders.read(event.getHead()), event.getHead().getStatus() == SERVICE_UNAVAILABLE);
            }
        }

        private void recordNotice(final Throwable error, final TargetPermit permit) {
            if (error instanceof TargetException rejection && rejection.reason() == TargetException.Reason.REFUSED) {
                permit.noticed(rejection.notice(), true);
            }
        }

        private RelayEvent withTargetHeaders(final RelayEvent event) {
            if (!event.hasHead()) {
                return event;
            }
            final RelayHead.Builder head = event.getHead().toBuilder();
            gate.load(new TargetId(request.getTarget())).ifPresent(head::setTargetLoad);
            head.addHeaders(RelayHeader.newBuilder().setName(TARGET_HEADER).setValue(request.getTarget()));
            if (!request.getAdapter().isEmpty()) {
                final String adapter = request.getAdapter() + "@" + request.getAdapterVersion();
                head.addHeaders(RelayHeader.newBuilder().setName(ADAPTER_HEADER).setValue(adapter));
            }
            return event.toBuilder().setHead(head).build();
        }

        private Optional<BalsambankException> rejection(final Optional<Epoch> epoch) {
            if (epoch.isEmpty()) {
                return rejected(ErrorKind.NO_OWNER, "another VM decides for the target");
            }
            if (timer.nanoTime() - deadlineNanos >= 0) {
                return rejected(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed while the request waited");
            }
            if (keyWithdrawn(catalogues.current())) {
                return rejected(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn while the request waited");
            }
            return Optional.empty();
        }

        private boolean keyWithdrawn(final Catalogue catalogue) {
            if (request.getKeyId().isEmpty() || catalogue.revision().value() < request.getCatalogueRevision()) {
                return false;
            }
            final Team team = catalogue.teams().get(new TeamId(request.getTeam()));
            return team == null
                    || team.keys().stream().noneMatch(key -> key.id().value().equals(request.getKeyId()));
        }

        private Completable deadline(final ErrorKind kind) {
            final long remaining = Math.max(0, deadlineNanos - timer.nanoTime());
            return timer.after(Duration.ofNanos(remaining))
                    .andThen(Completable.error(() -> new BalsambankException(kind, "the deadline has passed")));
        }

        private AdmissionRequest admission(final Target target) {
            final Optional<AdapterRef> adapter = request.getAdapter().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new AdapterRef(
                            new AdapterId(request.getAdapter()), new AdapterVersion(request.getAdapterVersion())));
            return new AdmissionRequest(
                    target.id(),
                    adapter,
                    new TeamId(request.getTeam()),
                    TrafficClass.valueOf(request.getTrafficClass()),
                    new Fingerprint(request.getFingerprint()),
                    deadlineNanos);
        }
    }

    private static TargetPermit deadlineWithoutError() {
        throw new IllegalStateException("the deadline must complete with an error");
    }

    private static Optional<BalsambankException> rejected(final ErrorKind kind, final String message) {
        return Optional.of(new BalsambankException(kind, message));
    }

    private static TargetOutcome outcome(final BalsambankException error) {
        switch (error.kind()) {
            case NO_TARGET:
                return TargetOutcome.NOT_SENT;
            case OVERLOADED:
            case NO_OWNER:
                return TargetOutcome.REFUSED;
            case TARGET_LOST:
                return TargetOutcome.LOST;
            default:
                return TargetOutcome.CANCELLED;
        }
    }
}
