package org.balsambank.core.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.KeyId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * The attempts of one request, one at a time. Each attempt is relayed to the VM that owns its target.
 *
 * <p>Invariants: at most one attempt is in flight; the caller receives one head, no part of the body twice, and the end
 * only after a complete response. Confined to the decision loop.
 */
final class RelayAttempts {
    private static final String SPAN = "relay";
    /** The load that is assumed for a target that refused a request. */
    private static final double REFUSED_LOAD = 4;

    private static final int PREFETCH = 8;

    private final EntryPorts ports;
    private final CallerRequest request;
    private final RequestPlan plan;
    private final RequestState state;
    private final ResponseProgress progress;
    private final Set<TargetId> tried = new HashSet<>();
    private int attempts;

    /**
     * Creates the attempts of a request; no attempt is started yet.
     *
     * @param ports the external dependencies
     * @param request the request of the caller
     * @param plan the request plan
     * @param state the state machine of the request
     * @param progress the progress of the response
     */
    RelayAttempts(
            final EntryPorts ports,
            final CallerRequest request,
            final RequestPlan plan,
            final RequestState state,
            final ResponseProgress progress) {
        this.ports = Objects.requireNonNull(ports);
        this.request = Objects.requireNonNull(request);
        this.plan = Objects.requireNonNull(plan);
        this.state = Objects.requireNonNull(state);
        this.progress = Objects.requireNonNull(progress);
    }

    /**
     * Sends the request until an attempt succeeds or no further one is allowed.
     *
     * @return the events for the caller; a subscription sends the request
     */
    Flowable<RelayEvent> events() {
        return Flowable.defer(this::nextAttempt);
    }

    private Flowable<RelayEvent> nextAttempt() {
        attempts++;
        return Flowable.defer(this::attempt).onErrorResumeNext(this::retryOrFail);
    }

    private Flowable<RelayEvent> retryOrFail(final Throwable failure) {
        final BalsambankException error = FailureMapper.of(failure);
        state.attemptFailed(error);
        return ports.retries()
                .delay(error, plan, progress, attempts, remainingTime())
                .map(delay -> ports.timer().after(delay).andThen(events()))
                .orElseGet(() -> Flowable.error(error));
    }

    private Flowable<RelayEvent> attempt() throws BalsambankException {
        final Target target = chooseTarget();
        tried.add(target.id());
        final VmId owner = ports.ownership()
                .ownerOf(ports.ownership()
                        .partitionOf(SubjectKind.TARGET, target.id().value()))
                .orElseThrow(() -> new BalsambankException(
                        ErrorKind.NO_OWNER, "no VM decides for target " + target.id() + " at the moment"));
        final Duration remaining = remainingTime();
        if (remaining.isNegative() || remaining.isZero()) {
            throw new BalsambankException(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline has passed");
        }
        final Span span = ports.spans().open(SPAN, request.traceParent());
        final RelayRequest message = message(target, remaining, span);
        final ResponseFilter filter = ResponseFilters.forAttempt(plan, request.streaming(), progress);
        if (!state.beginAttempt(request.idempotencyKey().isPresent())) {
            return Flowable.never();
        }
        return ports.peers().stream(owner, RelayMethods.RELAY, message)
                .doOnNext(event -> observeLoad(target, event))
                .doOnError(error -> observeRefusal(target, error))
                .concatMapIterable(filter::accept, PREFETCH)
                .concatWith(Flowable.defer(() -> requireEnd(filter)))
                .doOnNext(event -> state.streaming())
                .doOnError(error -> Spans.fail(span, error))
                .doOnComplete(span::end)
                .doOnCancel(span::end)
                .doFinally(() -> ports.selector().observe(target, plan.adapter(), Optional.empty()));
    }

    private void observeLoad(final Target target, final RelayEvent event) {
        if (event.hasHead() && event.getHead().getTargetLoad() > 0) {
            ports.selector()
                    .observe(target, plan.adapter(), Optional.of(event.getHead().getTargetLoad()));
        }
    }

    private void observeRefusal(final Target target, final Throwable error) {
        if (FailureMapper.of(error).kind() == ErrorKind.OVERLOADED) {
            ports.selector().observe(target, plan.adapter(), Optional.of(REFUSED_LOAD));
        }
    }

    private static Flowable<RelayEvent> requireEnd(final ResponseFilter filter) {
        return filter.ended() ? Flowable.empty() : Flowable.error(ResponseFilters.truncated());
    }

    private Target chooseTarget() throws BalsambankException {
        final List<Target> candidates = candidates();
        if (candidates.isEmpty()) {
            throw new BalsambankException(ErrorKind.NO_TARGET, "no target in service");
        }
        return candidates.stream()
                .filter(target -> !tried.contains(target.id()))
                .findFirst()
                .orElse(candidates.get((attempts - 1) % candidates.size()));
    }

    private List<Target> candidates() {
        if (plan.adapter().isPresent()) {
            return ports.selector()
                    .forAdapter(ports.catalogues().current(), plan.adapter().get(), request.prefixHash());
        }
        return ports.selector()
                .forService(ports.catalogues().current(), ((RequestSubject.ServiceCall) request.subject()).service());
    }

    private Duration remainingTime() {
        return Duration.ofNanos(request.deadlineNanos() - ports.timer().nanoTime());
    }

    private RelayRequest message(final Target target, final Duration remaining, final Span span)
            throws BalsambankException {
        final RelayRequest.Builder message = RelayRequest.newBuilder()
                .setRequestId(request.id().value())
                .setTarget(target.id().value())
                .setTeam(plan.caller().team().value())
                .setTrafficClass(plan.trafficClass().name())
                .setDeadlineMillis(Math.max(1, remaining.toMillis()))
                .setFingerprint(plan.fingerprint().value())
                .setHttpMethod(request.httpMethod())
                .setPath(request.path())
                .addAllHeaders(request.headers())
                .setBody(body())
                .setTraceParent(Spans.traceParent(span, request.traceParent()))
                .setStreaming(request.streaming())
                .setIdempotent(plan.repeatable())
                .setRecorded(request.idempotencyKey().isPresent())
                .setCatalogueRevision(plan.revision().value());
        plan.caller().key().map(KeyId::value).ifPresent(message::setKeyId);
        plan.adapter().ifPresent(adapter -> message.setAdapter(adapter.adapter().value())
                .setAdapterVersion(adapter.version().value()));
        return message.build();
    }

    private ByteString body() throws BalsambankException {
        return progress.started()
                ? CompletionBody.parse(plan.body())
                        .resumeFrom(progress.tokens())
                        .bytes()
                : plan.body();
    }
}
