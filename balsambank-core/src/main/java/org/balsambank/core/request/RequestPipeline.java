package org.balsambank.core.request;

import java.time.Duration;
import java.util.Objects;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.team.RateGrant;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Processes requests on the entry VM: authenticates the caller, takes rate units, records calls with an idempotency
 * key, and relays attempts to the owners of the targets.
 *
 * <p>Invariants: each request ends exactly once; rate units are settled exactly once. Confined to the decision loop.
 */
public final class RequestPipeline implements RequestHandler {
    /** Extra time after the deadline during which the entry VM waits for the target's owner to report the outcome. */
    public static final Duration OUTCOME_GRACE = Duration.ofSeconds(1);

    private static final String OUTCOMES = "balsambank.request.outcomes";
    private static final String KIND = "kind";
    private static final String COMPLETED = "completed";
    private static final String CANCELLED = "cancelled";

    private final EntryPorts ports;
    private final RequestPlanner planner;
    private final InFlightCounter inFlight;
    private final MeterRegistry registry;

    /**
     * Creates a pipeline.
     *
     * @param ports the external dependencies
     * @param inFlight counts the in-flight requests
     * @param registry the registry for the outcome counters
     */
    public RequestPipeline(final EntryPorts ports, final InFlightCounter inFlight, final MeterRegistry registry) {
        this.ports = Objects.requireNonNull(ports);
        this.planner = new RequestPlanner(ports.authenticator());
        this.inFlight = Objects.requireNonNull(inFlight);
        this.registry = Objects.requireNonNull(registry);
    }

    @Override
    public Flowable<RelayEvent> handle(final CallerRequest request) {
        final Flowable<RelayEvent> call = Flowable.defer(() -> start(request));
        return request.idempotencyKey().isPresent() ? IdempotentCall.detached(call) : call;
    }

    private Flowable<RelayEvent> start(final CallerRequest request) {
        final RequestState state = new RequestState(request.id(), ports.invariants());
        return Flowable.defer(() -> {
                    inFlight.enter();
                    return Flowable.defer(() -> admitAndRun(request, state)).doFinally(inFlight::leave);
                })
                .doOnComplete(() -> completed(state))
                .onErrorResumeNext(error -> Flowable.error(failed(state, error)))
                .doOnCancel(() -> cancelled(state));
    }

    private Flowable<RelayEvent> admitAndRun(final CallerRequest request, final RequestState state)
            throws BalsambankException {
        ports.retries().recordRequest();
        final RequestPlan plan = planner.plan(request, ports.catalogues().current());
        final double units = plan.rateUnit() == RateUnit.REQUESTS ? 1 : Math.max(1, request.tokens());
        return ports.rates()
                .admit(plan.caller().team(), units)
                .flatMapPublisher(grant -> runGranted(request, plan, state, new RateUsage(plan, units), grant))
                .takeUntil(deadline(request, state).toFlowable());
    }

    private Flowable<RelayEvent> runGranted(
            final CallerRequest request,
            final RequestPlan plan,
            final RequestState state,
            final RateUsage usage,
            final RateGrant grant) {
        state.admitted();
        final RelayAttempts attempts = new RelayAttempts(ports, request, plan, state, usage.progress());
        final Flowable<RelayEvent> run = attempts.events();
        final Flowable<RelayEvent> response = request.idempotencyKey()
                .map(key -> new IdempotentCall(tracedGate(request), state).events(plan, key, run))
                .orElse(run);
        return response.doOnComplete(() -> grant.settle(usage.units(state)))
                .doOnError(error -> grant.settle(usage.units(state)))
                .doOnCancel(() -> grant.settle(usage.units(state)));
    }

    private IdempotencyGate tracedGate(final CallerRequest request) {
        return new TracedIdempotencyGate(ports.idempotency(), ports.spans(), request.traceParent());
    }

    private Completable deadline(final CallerRequest request, final RequestState state) {
        final long remaining =
                Math.max(0, request.deadlineNanos() - ports.timer().nanoTime());
        return ports.timer()
                .after(Duration.ofNanos(remaining).plus(OUTCOME_GRACE))
                .andThen(Completable.error(() -> new BalsambankException(
                        state.mayHaveRun() ? ErrorKind.DEADLINE_DURING_RUN : ErrorKind.DEADLINE_BEFORE_RUN,
                        "the deadline has passed")));
    }

    private void completed(final RequestState state) {
        state.completed();
        count(COMPLETED);
    }

    private BalsambankException failed(final RequestState state, final Throwable failure) {
        final BalsambankException error = state.failed(FailureMapper.of(failure));
        count(error.kind().code());
        return error;
    }

    private void cancelled(final RequestState state) {
        if (state.phase() != RequestPhase.ENDED) {
            state.cancelled();
            count(CANCELLED);
        }
    }

    private void count(final String outcome) {
        registry.counter(OUTCOMES, KIND, outcome).increment();
    }
}
