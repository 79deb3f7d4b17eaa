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
 * Admits the requests of one team on this VM against its borrowed share.
 *
 * <p>Confined to the decision loop. Requests are admitted in order of arrival. At most one report is in flight; the
 * response to a report that has timed out is never applied.
 */
final class TeamBorrower {
    private static final Duration DEMAND_TIME_CONSTANT = Duration.ofSeconds(4);
    private static final Duration IDLE_AFTER = Duration.ofSeconds(5);
    private static final Duration NO_OWNER_RETRY = Duration.ofSeconds(1);
    private static final double MIN_REQUESTS_PER_SECOND_FOR_STOCK = 1;
    private static final double MIN_REQUESTS_PER_SECOND_FOR_STANDBY = 0.25;
    private static final Duration LOST_REPORT_RETRY = Duration.ofMillis(20);
    private static final double REFILL_BELOW_FRACTION = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int MAX_WAITING = 10_000;

    private final TimerService timers;
    private final RateSettings settings;
    private final Function<ShareReport, Single<ShareGrant>> owner;
    private final LongSupplier reportNumbers;
    private final CompositeDisposable work;
    private final BorrowedShare share = new BorrowedShare();
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private final DemandMeter unitDemand;
    private final DemandMeter requestDemand;
    private double waitingUnits;
    private boolean reportInFlight;
    private long nextReportNanos;
    private long lastReportNanos;
    private long lastDemandNanos;
    private long lastGrantNanos;
    private Duration retryAfter;
    private boolean shareReturned = true;

    /**
     * Creates a borrower without a share.
     *
     * @param timers the clock and timers
     * @param settings the periods and timeouts of share lending
     * @param owner sends a report to the owner and returns its grant
     * @param reportNumbers the next report number of this process
     * @param work holds the subscriptions of reports in flight
     */
    TeamBorrower(
            final TimerService timers,
            final RateSettings settings,
            final Function<ShareReport, Single<ShareGrant>> owner,
            final LongSupplier reportNumbers,
            final CompositeDisposable work) {
        this.timers = timers;
        this.settings = settings;
        this.owner = owner;
        this.reportNumbers = reportNumbers;
        this.work = work;
        final long now = timers.nanoTime();
        this.unitDemand = new DemandMeter(DEMAND_TIME_CONSTANT, now);
        this.requestDemand = new DemandMeter(DEMAND_TIME_CONSTANT, now);
        this.nextReportNanos = now;
        this.lastReportNanos = now;
        this.lastDemandNanos = now;
        this.lastGrantNanos = now - IDLE_AFTER.toNanos();
        this.retryAfter = settings.retryPeriod();
    }

    /**
     * Takes units for a request, at once if the share covers them.
     *
     * @param needed the number of units
     * @return the grant
     */
    Single<RateGrant> admit(final double needed) {
        return Single.defer(() -> {
            final long now = timers.nanoTime();
            unitDemand.add(needed, now);
            requestDemand.add(1, now);
            lastDemandNanos = now;
            if (waiting.isEmpty() && share.take(needed, now)) {
                return Single.just(grant(needed));
            }
            return Single.create(emitter -> enqueue(needed, now, emitter));
        });
    }

    /** Reports to the owner when a report is due, and refuses requests that have waited too long. */
    void tick() {
        final long now = timers.nanoTime();
        admitWaiting(now);
        refuseOverdue(now);
        if (idle(now)) {
            returnShare(now);
        } else if (reportDue(now)) {
            report(now);
        }
    }

    /**
     * Returns whether this object can be discarded.
     *
     * @return true if the share is returned, no report is in flight, no request waits and there is no recent demand
     */
    boolean discardable() {
        return shareReturned && !reportInFlight && waiting.isEmpty() && idle(timers.nanoTime());
    }

    /** Returns the share to the owner, for a planned stop. */
    void stop() {
        returnShare(timers.nanoTime());
    }

    private void enqueue(final double needed, final long now, final SingleEmitter<RateGrant> emitter) {
        final boolean tooLate = now < nextReportNanos
                && !reportInFlight
                && nextReportNanos - now > settings.maxWait().toNanos();
        if (tooLate || waiting.size() >= MAX_WAITING) {
            emitter.onError(refusal(now));
            return;
        }
        final WaitingRequest request = new WaitingRequest(needed, now, emitter);
        waiting.add(request);
        waitingUnits += needed;
        if (!reportInFlight && now >= nextReportNanos) {
            report(now);
        }
    }

    private boolean reportDue(final long now) {
        if (reportInFlight || now < nextReportNanos) {
            return false;
        }
        if (!waiting.isEmpty()) {
            return true;
        }
        return needsStandby(now)
                        && now - lastReportNanos >= settings.reportPeriod().toNanos()
                || needsStock(now)
                        && share.level(now) < REFILL_BELOW_FRACTION * Math.min(share.capacity(now), stock(now));
    }

    private boolean needsStandby(final long now) {
        return requestDemand.perSecond(now) >= MIN_REQUESTS_PER_SECOND_FOR_STANDBY || share.rate(now) > 0;
    }

    private boolean needsStock(final long now) {
        return requestDemand.perSecond(now) >= MIN_REQUESTS_PER_SECOND_FOR_STOCK;
    }

    private double stock(final long now) {
        return needsStock(now)
                ? unitDemand.perSecond(now) * settings.stockDuration().toMillis() / MILLIS_PER_SECOND
                : 0;
    }

    private boolean idle(final long now) {
        return waiting.isEmpty() && now - lastDemandNanos > IDLE_AFTER.toNanos();
    }

    private void returnShare(final long now) {
        if (shareReturned || reportInFlight) {
            return;
        }
        if (share.capacity(now) > 0 || share.rate(now) > 0) {
            share.clear();
            report(now, true);
        }
        shareReturned = true;
    }

    private void report(final long now) {
        report(now, false);
    }

    private void report(final long now, final boolean returning) {
        reportInFlight = true;
        shareReturned = false;
        lastReportNanos = now;
        final ShareReport report = new ShareReport(
                reportNumbers.getAsLong(),
                share.number(),
                share.rate(now),
                share.baseCapacity(now),
                share.capacity(now),
                share.level(now),
                share.takeReturned(),
                requestDemand.perSecond(now) >= MIN_REQUESTS_PER_SECOND_FOR_STANDBY && !returning
                        ? unitDemand.perSecond(now)
                        : 0,
                waitingUnits,
                returning ? 0 : stock(now));
        final boolean onStandby = share.standbyActive(now);
        owner.apply(report).subscribe(grant -> onGrant(grant, now, onStandby), this::onFailure, work);
    }

    private void onGrant(final ShareGrant grant, final long sentNanos, final boolean confirmAtOnce) {
        final long now = timers.nanoTime();
        reportInFlight = false;
        lastGrantNanos = now;
        share.replace(grant, sentNanos, now);
        nextReportNanos = confirmAtOnce ? now : now + nextReportDelay(grant).toNanos();
        retryAfter = grant.retryAfter();
        admitWaiting(now);
        if (confirmAtOnce) {
            report(now);
        } else if (!waiting.isEmpty()) {
            refuseIfReportTooLate(now);
        }
    }

    private Duration nextReportDelay(final ShareGrant grant) {
        return waiting.isEmpty() || grant.nextReport().compareTo(settings.reportPeriod()) == 0
                ? settings.retryPeriod()
                : grant.nextReport();
    }

    private void onFailure(final Throwable error) {
        reportInFlight = false;
        final boolean lost =
                error instanceof PeerException failure && failure.reason() != PeerException.Reason.NOT_SENT;
        final Duration delay = lost ? LOST_REPORT_RETRY : settings.retryPeriod();
        nextReportNanos = timers.nanoTime() + delay.toNanos();
    }

    private void admitWaiting(final long now) {
        while (!waiting.isEmpty()) {
            final WaitingRequest first = waiting.peek();
            if (!first.emitter().isDisposed() && !share.take(first.units(), now)) {
                return;
            }
            remove(first);
            first.emitter().onSuccess(grant(first.units()));
        }
    }

    private void refuseIfReportTooLate(final long now) {
        if (nextReportNanos - now > settings.maxWait().toNanos()) {
            while (!waiting.isEmpty()) {
                refuse(waiting.peek(), now);
            }
        }
    }

    private void refuseOverdue(final long now) {
        while (!waiting.isEmpty() && now - waiting.peek().sinceNanos() >= maxWaitNanos(now)) {
            refuse(waiting.peek(), now);
        }
    }

    private long maxWaitNanos(final long now) {
        return ownerUnresponsive(now)
                ? settings.maxWaitWithoutOwner().toNanos()
                : settings.maxWait().toNanos();
    }

    private boolean ownerUnresponsive(final long now) {
        return now - lastGrantNanos
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
        if (!share.standbyActive(now) && ownerUnresponsive(now)) {
            return new BalsambankException(
                    ErrorKind.NO_OWNER, "the owner of the team's rate does not answer", NO_OWNER_RETRY);
        }
        final Duration untilReport = Duration.ofNanos(Math.max(0, nextReportNanos - now));
        return new BalsambankException(
                ErrorKind.RATE_EXCEEDED,
                "the team's rate is used up",
                retryAfter.compareTo(untilReport) > 0 ? retryAfter : untilReport);
    }

    private RateGrant grant(final double granted) {
        return new RefundingRateGrant(granted, unused -> share.refund(unused, timers.nanoTime()));
    }
}
