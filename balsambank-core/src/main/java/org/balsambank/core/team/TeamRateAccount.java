package org.balsambank.core.team;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.protocol.generated.team.AccountState;

/**
 * The owner's account of one team's rate.
 *
 * <p>Confined to the decision loop. Invariants: the free units and the capacities of all loans together are at most the
 * burst; the rate that fills the free units and the standby rates that fill loans together are at most the team's rate.
 * So the units that all VMs admit over any window are at most rate x time + burst. Units are counted as lent when they
 * are sent. After a take-over all of the rate and the part of the burst that may be lent count as out until borrowers
 * report or the earlier owner's shares have ended.
 */
final class TeamRateAccount {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LENDABLE_BURST = 0.6;
    private static final double STANDING_PART = 0.67;
    private static final double FAIR_PART = 0.85;
    private static final double LEAST_STANDING = 2;
    private static final double MIN_LENDABLE_UNITS = 1;
    private static final Duration MAX_NEXT_ASK = Duration.ofMillis(500);
    private static final double TOLERANCE = 1e-6;

    private final RateSettings settings;
    private final InvariantMonitor invariants;
    private final VmId self;
    private final String team;
    private final Map<BorrowerId, Loan> loans = new HashMap<>();
    private final long unknownEndNanos;
    private final double unknownSurge;
    private final LendingLedger ledger;
    private RateLimit limit;
    private double unknownRate;
    private final long unknownSurgeEndNanos;
    private double unknownCapacity;
    private double free;
    private long filledNanos;
    private double checkedRate;
    private double checkedBurst;
    private long oldLimitEndNanos;

    /**
     * Creates the account of an owner that has just taken over.
     *
     * @param self the owner; it gets no standby rate, since that serves while the owner does not answer
     * @param team names the team in messages
     * @param limit the team's rate and burst
     * @param settings the times
     * @param gainedNanos the monotonic time since which this VM is the owner
     * @param first true if there was no owner before
     * @param invariants watch the account
     */
    TeamRateAccount(
            final VmId self,
            final String team,
            final RateLimit limit,
            final RateSettings settings,
            final long gainedNanos,
            final boolean first,
            final InvariantMonitor invariants) {
        this.self = self;
        this.team = team;
        this.limit = limit;
        this.settings = settings;
        this.invariants = invariants;
        this.filledNanos = gainedNanos;
        this.unknownEndNanos = first
                ? gainedNanos
                : gainedNanos + RateSettings.withDrift(settings.lifetime().plus(settings.reportTimeout()));
        this.unknownRate = first ? 0 : limit.perSecond();
        this.unknownSurgeEndNanos = first
                ? gainedNanos
                : gainedNanos + RateSettings.withDrift(settings.surgeLifetime().plus(settings.reportTimeout()));
        this.unknownCapacity = first ? 0 : lendable(limit) * STANDING_PART;
        this.unknownSurge = lendable(limit) * (1 - STANDING_PART);
        this.free = first ? limit.burst() : 0;
        this.ledger = new LendingLedger(limit, free, gainedNanos);
        this.checkedRate = limit.perSecond();
        this.checkedBurst = limit.burst();
        this.oldLimitEndNanos = gainedNanos;
    }

    /**
     * Takes over the account of an owner that stopped and handed it over.
     *
     * @param self the owner
     * @param state the account
     * @param settings the times
     * @param nowNanos the monotonic time
     * @param invariants watch the account
     */
    TeamRateAccount(
            final VmId self,
            final AccountState state,
            final RateSettings settings,
            final long nowNanos,
            final InvariantMonitor invariants) {
        this.self = self;
        this.team = state.getTeam();
        this.limit = new RateLimit(RateUnit.valueOf(state.getUnit()), state.getPerSecond(), state.getBurst());
        this.settings = settings;
        this.invariants = invariants;
        this.filledNanos = nowNanos;
        this.unknownEndNanos = nowNanos + state.getUnknownLeft();
        this.unknownRate = state.getUnknownRate();
        this.unknownSurgeEndNanos = nowNanos + state.getUnknownSurgeLeft();
        this.unknownCapacity = state.getUnknownCapacity();
        this.unknownSurge = state.getUnknownSurge();
        this.free = state.getFree();
        this.ledger = new LendingLedger(limit, free, nowNanos);
        this.checkedRate = state.getCheckedRate();
        this.checkedBurst = state.getCheckedBurst();
        this.oldLimitEndNanos = nowNanos + state.getOldLimitLeft();
        state.getLoansList()
                .forEach(loan ->
                        loans.put(new BorrowerId(new VmId(loan.getVm()), loan.getBoot()), Loan.of(loan, nowNanos)));
    }

    /**
     * Says what the next owner has to know.
     *
     * @param nowNanos the monotonic time
     * @return the account
     */
    AccountState state(final long nowNanos) {
        fill(nowNanos);
        final AccountState.Builder state = AccountState.newBuilder()
                .setTeam(team)
                .setUnit(limit.unit().name())
                .setPerSecond(limit.perSecond())
                .setBurst(limit.burst())
                .setFree(free)
                .setUnknownRate(unknownRate)
                .setUnknownCapacity(unknownCapacity)
                .setUnknownLeft(left(unknownEndNanos, nowNanos))
                .setUnknownSurge(unknownSurge)
                .setUnknownSurgeLeft(left(unknownSurgeEndNanos, nowNanos))
                .setCheckedRate(checkedRate)
                .setCheckedBurst(checkedBurst)
                .setOldLimitLeft(left(oldLimitEndNanos, nowNanos));
        loans.forEach((borrower, loan) -> state.addLoans(loan.state(borrower, nowNanos)));
        return state.build();
    }

    private static long left(final long endNanos, final long nowNanos) {
        return endNanos > nowNanos ? endNanos - nowNanos : 0;
    }

    /**
     * Returns the part of the burst that may be lent at a time. It is the same for every owner.
     *
     * @param limit the team's rate and burst
     * @return the units
     */
    static double lendable(final RateLimit limit) {
        return Math.max(limit.burst() * LENDABLE_BURST, Math.min(limit.burst(), MIN_LENDABLE_UNITS));
    }

    /**
     * Returns the rate and burst.
     *
     * @return the limit
     */
    RateLimit limit() {
        return limit;
    }

    /**
     * Replaces the rate and burst. Shares that are out shrink with the next asks, at the latest when they end.
     *
     * @param newLimit the rate and burst
     * @param nowNanos the monotonic time
     */
    void replaceLimit(final RateLimit newLimit, final long nowNanos) {
        fill(nowNanos);
        checkedRate = Math.max(limit.perSecond(), newLimit.perSecond());
        checkedBurst = Math.max(limit.burst(), newLimit.burst());
        oldLimitEndNanos = nowNanos + RateSettings.withDrift(settings.lifetime());
        limit = newLimit;
        ledger.replaceLimit(newLimit, nowNanos);
        free = Math.min(free, freeCapacity(nowNanos));
    }

    /**
     * Answers an ask.
     *
     * @param borrower who asks
     * @param report what it reports
     * @param nowNanos the monotonic time
     * @return the share, or empty if a later ask was answered already
     */
    Optional<ShareGrant> ask(final BorrowerId borrower, final ShareReport report, final long nowNanos) {
        fill(nowNanos);
        final Loan loan = loans.computeIfAbsent(borrower, id -> newLoan(report, nowNanos));
        if (report.number() <= loan.lastNumber()) {
            return Optional.empty();
        }
        loan.show(report);
        takeBack(report.returned(), nowNanos);
        final ShareGrant grant = grant(borrower, loan, report, nowNanos);
        loan.send(new LentShare(
                report.number(),
                grant.rate(),
                grant.capacity(),
                grant.surgeCapacity(),
                nowNanos + RateSettings.withDrift(grant.surgeLife()),
                nowNanos + settings.countedStandbyNanos(),
                nowNanos + RateSettings.withDrift(grant.life())));
        free -= grant.units();
        ledger.lend(grant.units(), nowNanos);
        free = Math.max(0, Math.min(free, freeCapacity(nowNanos)));
        check(nowNanos);
        return Optional.of(grant);
    }

    /**
     * Tells whether the account can be forgotten: a new one would come to the same state.
     *
     * @param nowNanos the monotonic time
     * @return true if nothing is lent and the free units are at the burst
     */
    boolean idle(final long nowNanos) {
        fill(nowNanos);
        return loans.isEmpty() && free >= limit.burst() - TOLERANCE;
    }

    private Loan newLoan(final ShareReport report, final long now) {
        final Loan loan = new Loan();
        if (report.appliedNumber() != 0 && now < unknownEndNanos) {
            loan.register(new LentShare(
                    report.appliedNumber(),
                    report.rate(),
                    report.capacity(),
                    report.surgeCapacity(),
                    unknownEndNanos,
                    now,
                    unknownEndNanos));
            unknownRate = Math.max(0, unknownRate - report.rate());
            unknownCapacity = Math.max(0, unknownCapacity - report.capacity());
        }
        return loan;
    }

    private void takeBack(final double units, final long now) {
        final double kept = Math.max(0, Math.min(units, freeCapacity(now) - free));
        free += kept;
        ledger.takeBack(kept, now);
    }

    private ShareGrant grant(final BorrowerId borrower, final Loan loan, final ShareReport report, final long now) {
        final double demands = loans.values().stream().mapToDouble(Loan::demand).sum();
        final double part = demands > 0 ? report.demand() / demands : 0;
        final double allowed = Math.max(0, spareCapacity(now) + loan.capacity(now));
        final double capacity = Math.min(allowed, standingCapacity(loan, report, part, now));
        final double urgent = Math.min(free, Math.max(0, report.waiting() - report.level()));
        final double wanted = Math.min(capacity, report.stock()) + report.waiting() - report.level() - urgent;
        final double ahead = Math.min(Math.max(0, wanted), (free - urgent) * part);
        final double units = Math.max(0, Math.min(allowed - report.level(), urgent + ahead));
        final double missing = Math.max(0, report.waiting() - report.level() - units);
        return new ShareGrant(
                report.number(),
                borrower.vm().equals(self) || capacity == 0 ? 0 : standbyRate(loan, now),
                capacity,
                Math.min(allowed, report.level() + units),
                units,
                settings.standbyAfter(),
                settings.lifetime(),
                settings.surgeLifetime(),
                nextAsk(missing, now),
                RetryDelay.of(missing, limit.perSecond()));
    }

    private double standingCapacity(final Loan loan, final ShareReport report, final double part, final long now) {
        final double standing = lendable(limit) * STANDING_PART;
        final double fair = Math.max(standing * FAIR_PART * part, MIN_LENDABLE_UNITS);
        final double others = loans.values().stream()
                        .mapToDouble(other -> other.standingCapacity(now))
                        .sum()
                - loan.standingCapacity(now);
        final double spare = standing - others - (now < unknownEndNanos ? unknownCapacity : 0);
        final double even = standing * FAIR_PART / loans.size();
        final double least = report.demand() > 0 && even >= MIN_LENDABLE_UNITS ? Math.min(even, LEAST_STANDING) : 0;
        final double wanted = Math.max(least, Math.max(report.stock(), report.demand()));
        final double units = Math.min(Math.min(Math.max(fair, least), spare), wanted);
        return units < MIN_LENDABLE_UNITS ? 0 : units;
    }

    private double standbyRate(final Loan loan, final long now) {
        final double others = loans.entrySet().stream()
                .filter(entry -> !entry.getKey().vm().equals(self))
                .map(Map.Entry::getValue)
                .filter(other -> other != loan && other.standingCapacity(now) > 0)
                .mapToDouble(Loan::demand)
                .sum();
        final double part = loan.demand() / (others + loan.demand());
        return Math.max(0, Math.min(limit.perSecond() * part, spareRate(now) + loan.rate(now)));
    }

    private Duration nextAsk(final double missing, final long now) {
        if (missing <= 0) {
            return settings.reportPeriod();
        }
        final Duration delay = RetryDelay.of(Math.min(missing, 1), fillRate(now));
        final Duration bounded = delay.compareTo(MAX_NEXT_ASK) > 0 ? MAX_NEXT_ASK : delay;
        return bounded.compareTo(settings.retryPeriod()) < 0 ? settings.retryPeriod() : bounded;
    }

    private double spareRate(final long now) {
        return limit.perSecond() - unknownRate(now) - sumOfRates(now);
    }

    private double spareCapacity(final long now) {
        return lendable(limit) - unknownCapacity(now) - sumOfCapacities(now);
    }

    private double freeCapacity(final long now) {
        return Math.max(0, limit.burst() - unknownCapacity(now) - sumOfCapacities(now));
    }

    private double fillRate(final long now) {
        final double lent = loans.values().stream()
                .mapToDouble(loan -> loan.fillingRate(now))
                .sum();
        return Math.max(0, limit.perSecond() - unknownRate(now) - lent);
    }

    private double unknownRate(final long now) {
        return now < unknownEndNanos ? unknownRate : 0;
    }

    private double unknownCapacity(final long now) {
        final double standing = now < unknownEndNanos ? unknownCapacity : 0;
        return standing + (now < unknownSurgeEndNanos ? unknownSurge : 0);
    }

    private double sumOfRates(final long now) {
        return loans.values().stream().mapToDouble(loan -> loan.rate(now)).sum();
    }

    private double sumOfCapacities(final long now) {
        return loans.values().stream().mapToDouble(loan -> loan.capacity(now)).sum();
    }

    private void fill(final long now) {
        while (filledNanos < now) {
            final long from = filledNanos;
            final long until = Math.min(now, nextChangeNanos(from));
            final double seconds = (until - from) / NANOS_PER_SECOND;
            final double rate = fillRate(from);
            free = Math.max(0, Math.min(free + rate * seconds, freeCapacity(from)));
            ledger.fillLoans(limit.perSecond() - rate, until);
            filledNanos = until;
        }
        loans.values().removeIf(loan -> loan.over(now));
    }

    private long nextChangeNanos(final long after) {
        long next = after < unknownEndNanos ? unknownEndNanos : Long.MAX_VALUE;
        if (after < unknownSurgeEndNanos) {
            next = Math.min(next, unknownSurgeEndNanos);
        }
        for (final Loan loan : loans.values()) {
            next = Math.min(next, loan.nextChangeNanos(after));
        }
        return next;
    }

    private void check(final long now) {
        final boolean old = now < oldLimitEndNanos;
        final double rate = old ? checkedRate : limit.perSecond();
        final double burst = old ? checkedBurst : limit.burst();
        final double rates = sumOfRates(now) + unknownRate(now);
        final double units = free + sumOfCapacities(now) + unknownCapacity(now);
        final double slack = TOLERANCE * (1 + rate + burst);
        invariants.check(
                rates <= rate + slack && units <= burst + slack && (old || ledger.holds()),
                Invariant.LENT_WITHIN_RATE,
                () -> "team " + team + " rates " + rates + " of " + rate + ", units " + units + " of " + burst
                        + ", ledger " + ledger);
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
