package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.Objects;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.serving.admission.SendPermit;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.PermitAnswer;
import org.balsambank.protocol.generated.serving.PermitAsk;

/**
 * Gets permits for requests to targets that limit the requests of all VMs together, from the VM that issues them.
 *
 * <p>The issuer of a target is the first registered VM for it. While it cannot be reached, or the VMs know different
 * registrations, there is no permit, and the request goes elsewhere. Confined to the decision loop.
 */
public final class PermitExchange {
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    /** How late a permit may be used; later, this VM was suspended and the permit may be counted in another span. */
    private static final Duration VALIDITY = Duration.ofMillis(250);
    /** Without an issuer, requests go elsewhere until the longest wait for a permit is near again. */
    private static final Duration RETRY_DELAY = SendPermits.MAX_WAIT.plusMillis(300);

    private final PeerTransport peers;
    private final FleetMembers members;
    private final TargetLimits limits;
    private final SendPermits permits;
    private final TimerService timer;

    /**
     * Creates the exchange and serves the requests of other VMs.
     *
     * @param peers the transport to the other VMs
     * @param members the registered VMs
     * @param limits the limits of targets
     * @param permits the permits that this VM issues
     * @param timer the timer service
     */
    public PermitExchange(
            final PeerTransport peers,
            final FleetMembers members,
            final TargetLimits limits,
            final SendPermits permits,
            final TimerService timer) {
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.limits = Objects.requireNonNull(limits);
        this.permits = Objects.requireNonNull(permits);
        this.timer = Objects.requireNonNull(timer);
        peers.serve(FleetMethods.PERMIT, (from, ask) -> Flowable.fromCallable(() -> serve(from, ask)));
    }

    /**
     * Returns whether a target limits its requests.
     *
     * @param target the start of the target
     * @return true if requests to it need a permit
     */
    public boolean needed(final TargetStart target) {
        return permits.needed(target);
    }

    /**
     * Returns how long a request to a target is expected to wait for its turn.
     *
     * @param target the start of the target
     * @return the time, zero if it is not known
     */
    public Duration expectedWait(final TargetStart target) {
        return permits.expectedWait(target);
    }

    /**
     * Waits for the turn of a request.
     *
     * @param target the start of the target
     * @param maxWait the longest time that the request can wait
     * @return true once the request may be sent, at once or not at all; false if there is no permit; never fails
     */
    public Single<Boolean> await(final TargetStart target, final Duration maxWait) {
        return Single.defer(() -> {
            final long latestAnswerNanos = timer.nanoTime() + TIMEOUT.toNanos();
            return acquire(target, maxWait)
                    .flatMap(permit ->
                            valid(target, permit, latestAnswerNanos) ? awaitTurn(target, permit) : Single.just(false));
        });
    }

    private Single<Boolean> awaitTurn(final TargetStart target, final SendPermit permit) {
        if (permit.delay().isZero()) {
            return Single.just(true);
        }
        final long latestUseNanos =
                timer.nanoTime() + permit.delay().plus(VALIDITY).toNanos();
        return timer.after(permit.delay()).andThen(Single.fromCallable(() -> valid(target, permit, latestUseNanos)));
    }

    /** Returns whether a permit is granted and neither too old nor issued under a higher limit. */
    private boolean valid(final TargetStart target, final SendPermit permit, final long latestNanos) {
        return permit.granted()
                && timer.nanoTime() - latestNanos <= 0
                && !limits.of(target).stricterThan(permit.limit());
    }

    private Single<SendPermit> acquire(final TargetStart target, final Duration maxWait) {
        final VmId issuer = members.firstFor(target.target().value());
        final Single<SendPermit> answer = issuer.equals(members.self())
                ? Single.fromCallable(() -> permits.issue(target, maxWait))
                : ask(issuer, target, maxWait);
        return answer.doOnSuccess(permit -> permits.recordAnswer(target, permit));
    }

    private Single<SendPermit> ask(final VmId issuer, final TargetStart target, final Duration maxWait) {
        final PermitAsk ask = PermitAsk.newBuilder()
                .setLimit(DigestCodec.limit(limits.report(target)))
                .setMaxWaitMillis((int) Math.max(0, maxWait.toMillis()))
                .build();
        return peers.call(issuer, FleetMethods.PERMIT, ask, TIMEOUT)
                .map(answer -> {
                    learn(DigestCodec.limit(answer.getLimit()), issuer);
                    return new SendPermit(
                            answer.getGranted(), Duration.ofMillis(answer.getWaitMillis()), limits.of(target));
                })
                .onErrorReturn(error -> SendPermit.refused(RETRY_DELAY, limits.of(target)));
    }

    private PermitAnswer serve(final VmId from, final PermitAsk ask) {
        final TargetLimits.Report known = DigestCodec.limit(ask.getLimit());
        final TargetStart target = known.start();
        learn(known, from);
        final SendPermit permit;
        if (members.isFirstFor(target.target().value())) {
            permit = permits.issue(target, Duration.ofMillis(ask.getMaxWaitMillis()));
        } else {
            permits.forget(target);
            permit = SendPermit.refused(RETRY_DELAY, limits.of(target));
        }
        return PermitAnswer.newBuilder()
                .setGranted(permit.granted())
                .setWaitMillis(permit.delay().toMillis())
                .setLimit(DigestCodec.limit(limits.report(target)))
                .build();
    }

    private void learn(final TargetLimits.Report report, final VmId from) {
        if (limits.recordReport(report, from)) {
            limits.reportAnew(report.start());
        }
    }
}
