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
 * The entry side of a request: checks the key, takes the units, records keyed calls and relays to the owners of
 * targets.
 *
 * <p>Invariants: each request ends exactly once; units are settled exactly once. Confined to the decision loop.
 */
public final class RequestPipeline implements RequestHandler {
    /** How much longer than the deadline the entry VM waits for the owner of the target to tell the outcome. */
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
     * @param ports the other parts of this VM
     * @param inFlight counts the requests that run
     * @param registry counts outcomes
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
                    return Flowable.defer(() -> admitted(request, state)).doFinally(inFlight::leave);
                })
                .doOnComplete(() -> completed(state))
                .onErrorResumeNext(error -> Flowable.error(failed(state, error)))
                .doOnCancel(() -> cancelled(state));
    }

    private Flowable<RelayEvent> admitted(final CallerRequest request, final RequestState state)
            throws BalsambankException {
        ports.retries().request();
        final RequestPlan plan = planner.plan(request, ports.catalogues().current());
        final double units = plan.rateUnit() == RateUnit.REQUESTS ? 1 : Math.max(1, request.tokens());
        return ports.rates()
                .admit(plan.caller().team(), units)
                .flatMapPublisher(grant -> granted(request, plan, state, new RateUsage(plan, units), grant))
                .takeUntil(deadline(request, state).toFlowable());
    }

    private Flowable<RelayEvent> granted(
            final CallerRequest request,
            final RequestPlan plan,
            final RequestState state,
            final RateUsage use,
            final RateGrant grant) {
        state.admitted();
        final RelayAttempts attempts = new RelayAttempts(ports, request, plan, state, use.progress());
        final Flowable<RelayEvent> run = attempts.events();
        final Flowable<RelayEvent> answer = request.idempotencyKey()
                .map(key -> new IdempotentCall(records(request), state).events(plan, key, run))
                .orElse(run);
        return answer.doOnComplete(() -> grant.settle(use.units(state)))
                .doOnError(error -> grant.settle(use.units(state)))
                .doOnCancel(() -> grant.settle(use.units(state)));
    }

    private IdempotencyGate records(final CallerRequest request) {
        return new TracedIdempotencyGate(ports.idempotency(), ports.spans(), request.traceParent());
    }

    private Completable deadline(final CallerRequest request, final RequestState state) {
        final long left = Math.max(0, request.deadlineNanos() - ports.timer().nanoTime());
        return ports.timer()
                .after(Duration.ofNanos(left).plus(OUTCOME_GRACE))
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
