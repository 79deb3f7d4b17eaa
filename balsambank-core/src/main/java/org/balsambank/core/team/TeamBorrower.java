package org.balsambank.core.team;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.time.TimerService;

/**
 * Admits the requests of one team on this VM.
 *
 * <p>Confined to the decision loop. Requests are admitted in their order. At most one ask is under way; the answer of
 * an ask that was given up is never applied.
 */
final class TeamBorrower {
    private static final Duration MEMORY = Duration.ofSeconds(4);
    private static final Duration IDLE = Duration.ofSeconds(5);
    private static final Duration NO_OWNER_RETRY = Duration.ofSeconds(1);
    private static final double STOCK_FROM_REQUESTS_PER_SECOND = 1;
    private static final double STANDBY_FROM_REQUESTS_PER_SECOND = 0.25;
    private static final Duration LOST_RETRY = Duration.ofMillis(20);
    private static final double REFILL_BELOW = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int MAX_WAITING = 10_000;

    private final TimerService timers;
    private final RateSettings settings;
    private final Function<ShareReport, Single<ShareGrant>> owner;
    private final LongSupplier numbers;
    private final CompositeDisposable work;
    private final BorrowedShare share = new BorrowedShare();
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private final DemandMeter units;
    private final DemandMeter requests;
    private double waitingUnits;
    private boolean asking;
    private long nextAskNanos;
    private long lastAskNanos;
    private long lastDemandNanos;
    private long lastAnswerNanos;
    private Duration retryAfter;
    private boolean surrendered = true;

    /**
     * Creates a borrower that holds nothing.
     *
     * @param timers give the time
     * @param settings the times of lending
     * @param owner sends a report to the owner
     * @param numbers numbers the asks of this run of the VM
     * @param work holds what is under way
     */
    TeamBorrower(
            final TimerService timers,
            final RateSettings settings,
            final Function<ShareReport, Single<ShareGrant>> owner,
            final LongSupplier numbers,
            final CompositeDisposable work) {
        this.timers = timers;
        this.settings = settings;
        this.owner = owner;
        this.numbers = numbers;
        this.work = work;
        final long now = timers.nanoTime();
        this.units = new DemandMeter(MEMORY, now);
        this.requests = new DemandMeter(MEMORY, now);
        this.nextAskNanos = now;
        this.lastAskNanos = now;
        this.lastDemandNanos = now;
        this.lastAnswerNanos = now - IDLE.toNanos();
        this.retryAfter = settings.retryPeriod();
    }

    /**
     * Takes units for a request, at once if they are here.
     *
     * @param needed the units
     * @return the grant
     */
    Single<RateGrant> admit(final double needed) {
        return Single.defer(() -> {
            final long now = timers.nanoTime();
            units.add(needed, now);
            requests.add(1, now);
            lastDemandNanos = now;
            if (waiting.isEmpty() && share.take(needed, now)) {
                return Single.just(grant(needed));
            }
            return Single.create(emitter -> enqueue(needed, now, emitter));
        });
    }

    /** Reports to the owner when it is time to, and refuses requests that have waited long enough. */
    void tick() {
        final long now = timers.nanoTime();
        drain(now);
        refuseOverdue(now);
        if (idle(now)) {
            surrender(now);
        } else if (wantsAsk(now)) {
            ask(now);
        }
    }

    /**
     * Tells whether this VM has nothing to do for the team.
     *
     * @return true if nothing is held, asked or awaited
     */
    boolean forgettable() {
        return surrendered && !asking && waiting.isEmpty() && idle(timers.nanoTime());
    }

    /** Gives all that is held back to the owner, as a planned stop does. */
    void stop() {
        surrender(timers.nanoTime());
    }

    private void enqueue(final double needed, final long now, final SingleEmitter<RateGrant> emitter) {
        final boolean hopeless = now < nextAskNanos
                && !asking
                && nextAskNanos - now > settings.maxWait().toNanos();
        if (hopeless || waiting.size() >= MAX_WAITING) {
            emitter.onError(refusal(now));
            return;
        }
        final WaitingRequest request = new WaitingRequest(needed, now, emitter);
        waiting.add(request);
        waitingUnits += needed;
        if (!asking && now >= nextAskNanos) {
            ask(now);
        }
    }

    private boolean wantsAsk(final long now) {
        if (asking || now < nextAskNanos) {
            return false;
        }
        if (!waiting.isEmpty()) {
            return true;
        }
        return standing(now) && now - lastAskNanos >= settings.reportPeriod().toNanos()
                || stocking(now) && share.level(now) < REFILL_BELOW * Math.min(share.capacity(now), stock(now));
    }

    private boolean standing(final long now) {
        return requests.perSecond(now) >= STANDBY_FROM_REQUESTS_PER_SECOND || share.rate(now) > 0;
    }

    private boolean stocking(final long now) {
        return requests.perSecond(now) >= STOCK_FROM_REQUESTS_PER_SECOND;
    }

    private double stock(final long now) {
        return stocking(now) ? units.perSecond(now) * settings.stockDuration().toMillis() / MILLIS_PER_SECOND : 0;
    }

    private boolean idle(final long now) {
        return waiting.isEmpty() && now - lastDemandNanos > IDLE.toNanos();
    }

    private void surrender(final long now) {
        if (surrendered || asking) {
            return;
        }
        if (share.capacity(now) > 0 || share.rate(now) > 0) {
            share.surrender();
            ask(now, true);
        }
        surrendered = true;
    }

    private void ask(final long now) {
        ask(now, false);
    }

    private void ask(final long now, final boolean leaving) {
        asking = true;
        surrendered = false;
        lastAskNanos = now;
        final ShareReport report = new ShareReport(
                numbers.getAsLong(),
                share.number(),
                share.rate(now),
                share.standingCapacity(now),
                share.capacity(now),
                share.level(now),
                share.takeReturned(),
                requests.perSecond(now) >= STANDBY_FROM_REQUESTS_PER_SECOND && !leaving ? units.perSecond(now) : 0,
                waitingUnits,
                leaving ? 0 : stock(now));
        final boolean onStandby = share.onStandby(now);
        owner.apply(report).subscribe(grant -> answered(grant, now, onStandby), this::failed, work);
    }

    private void answered(final ShareGrant grant, final long askNanos, final boolean confirmAtOnce) {
        final long now = timers.nanoTime();
        asking = false;
        lastAnswerNanos = now;
        share.replace(grant, askNanos, now);
        nextAskNanos = confirmAtOnce ? now : now + minNextAsk(grant).toNanos();
        retryAfter = grant.retryAfter();
        drain(now);
        if (confirmAtOnce) {
            ask(now);
        } else if (!waiting.isEmpty()) {
            refuseHopeless(now);
        }
    }

    private Duration minNextAsk(final ShareGrant grant) {
        return waiting.isEmpty() || grant.nextAsk().compareTo(settings.reportPeriod()) == 0
                ? settings.retryPeriod()
                : grant.nextAsk();
    }

    private void failed(final Throwable error) {
        asking = false;
        final boolean lost =
                error instanceof PeerException failure && failure.reason() != PeerException.Reason.NOT_SENT;
        final Duration delay = lost ? LOST_RETRY : settings.retryPeriod();
        nextAskNanos = timers.nanoTime() + delay.toNanos();
    }

    private void drain(final long now) {
        while (!waiting.isEmpty()) {
            final WaitingRequest first = waiting.peek();
            if (!first.emitter().isDisposed() && !share.take(first.units(), now)) {
                return;
            }
            remove(first);
            first.emitter().onSuccess(grant(first.units()));
        }
    }

    private void refuseHopeless(final long now) {
        if (nextAskNanos - now > settings.maxWait().toNanos()) {
            while (!waiting.isEmpty()) {
                refuse(waiting.peek(), now);
            }
        }
    }

    private void refuseOverdue(final long now) {
        while (!waiting.isEmpty() && now - waiting.peek().sinceNanos() >= patienceNanos(now)) {
            refuse(waiting.peek(), now);
        }
    }

    private long patienceNanos(final long now) {
        return silent(now)
                ? settings.maxWaitWithoutOwner().toNanos()
                : settings.maxWait().toNanos();
    }

    private boolean silent(final long now) {
        return now - lastAnswerNanos
                > settings.reportPeriod().plus(settings.reportTimeout()).toNanos();
    }

    private void refuse(final WaitingRequest request, final long now) {
        remove(request);
        request.emitter().tryOnError(refusal(now));
    }

    private void remove(final WaitingRequest request) {
        waiting.remove(request);
        waitingUnits = waiting.isEmpty() ? 0 : waitingUnits - request.units();
    }

    private BalsambankException refusal(final long now) {
        if (!share.onStandby(now) && silent(now)) {
            return new BalsambankException(
                    ErrorKind.NO_OWNER, "the owner of the team's rate does not answer", NO_OWNER_RETRY);
        }
        final Duration untilAsk = Duration.ofNanos(Math.max(0, nextAskNanos - now));
        return new BalsambankException(
                ErrorKind.RATE_EXCEEDED,
                "the team's rate is used up",
                retryAfter.compareTo(untilAsk) > 0 ? retryAfter : untilAsk);
    }

    private RateGrant grant(final double granted) {
        return new RefundingRateGrant(granted, rest -> share.giveBack(rest, timers.nanoTime()));
    }
}
