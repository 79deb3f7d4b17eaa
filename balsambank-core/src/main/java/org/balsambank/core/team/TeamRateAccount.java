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
 * The owner's account of one team's rate and of the shares lent from it.
 *
 * <p>Confined to the decision loop. Invariants: the sum of the free units and the capacities of all loans is at most
 * the burst; the sum of the rate that refills the free units and the standby rates that refill loans is at most the
 * team's rate. Therefore the units that all VMs admit over any window are at most rate x time + burst. Units are
 * accounted as lent when they are sent. After a takeover the whole rate and the lendable part of the burst are
 * accounted as lent until borrowers report or the shares of the earlier owner have expired.
 */
final class TeamRateAccount {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LENDABLE_BURST_FRACTION = 0.6;
    private static final double BASE_CAPACITY_FRACTION = 0.67;
    private static final double FAIR_SHARE_FRACTION = 0.85;
    private static final double MIN_BASE_CAPACITY = 2;
    private static final double MIN_LENDABLE_UNITS = 1;
    private static final Duration MAX_NEXT_REPORT = Duration.ofMillis(500);
    private static final double TOLERANCE = 1e-6;

    private final RateSettings settings;
    private final InvariantMonitor invariants;
    private final VmId self;
    private final String team;
    private final Map<BorrowerId, Loan> loans = new HashMap<>();
    // The unknown values bound the shares that an earlier owner may have lent and that no borrower has reported yet.
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
     * Creates the account of an owner that has gained the partition without the account of an earlier owner.
     *
     * @param self this VM; it gets no standby rate, because a standby rate is for VMs that cannot reach the owner
     * @param team the team, for messages
     * @param limit the team's rate and burst
     * @param settings the periods and timeouts of share lending
     * @param gainedNanos the monotonic time at which this VM gained the partition
     * @param first true if no share of an earlier owner can be outstanding
     * @param invariants checks the account
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
        this.unknownCapacity = first ? 0 : maxLendableUnits(limit) * BASE_CAPACITY_FRACTION;
        this.unknownSurge = maxLendableUnits(limit) * (1 - BASE_CAPACITY_FRACTION);
        this.free = first ? limit.burst() : 0;
        this.ledger = new LendingLedger(limit, free, gainedNanos);
        this.checkedRate = limit.perSecond();
        this.checkedBurst = limit.burst();
        this.oldLimitEndNanos = gainedNanos;
    }

    /**
     * Restores an account that its earlier owner has handed over.
     *
     * @param self this VM
     * @param state the exported account
     * @param settings the periods and timeouts of share lending
     * @param nowNanos the current monotonic time
     * @param invariants checks the account
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
     * Exports the account for the next owner.
     *
     * @param nowNanos the current monotonic time
     * @return the state
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
                .setUnknownLeft(remaining(unknownEndNanos, nowNanos))
                .setUnknownSurge(unknownSurge)
                .setUnknownSurgeLeft(remaining(unknownSurgeEndNanos, nowNanos))
                .setCheckedRate(checkedRate)
                .setCheckedBurst(checkedBurst)
                .setOldLimitLeft(remaining(oldLimitEndNanos, nowNanos));
        loans.forEach((borrower, loan) -> state.addLoans(loan.state(borrower, nowNanos)));
        return state.build();
    }

    private static long remaining(final long endNanos, final long nowNanos) {
        return endNanos > nowNanos ? endNanos - nowNanos : 0;
    }

    /**
     * Returns the part of the burst that may be lent at a time. Every owner computes the same value.
     *
     * @param limit the team's rate and burst
     * @return the units
     */
    static double maxLendableUnits(final RateLimit limit) {
        return Math.max(limit.burst() * LENDABLE_BURST_FRACTION, Math.min(limit.burst(), MIN_LENDABLE_UNITS));
    }

    /**
     * Returns the rate and burst that the account enforces.
     *
     * @return the limit
     */
    RateLimit limit() {
        return limit;
    }

    /**
     * Replaces the rate and burst. Outstanding shares shrink with the next reports, at the latest when they expire.
     *
     * @param newLimit the rate and burst
     * @param nowNanos the current monotonic time
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
     * Grants a share in response to a report.
     *
     * @param borrower the sender of the report
     * @param report the report
     * @param nowNanos the current monotonic time
     * @return the share, or empty if a report with this or a higher number was processed before
     */
    Optional<ShareGrant> handleReport(final BorrowerId borrower, final ShareReport report, final long nowNanos) {
        fill(nowNanos);
        final Loan loan = loans.computeIfAbsent(borrower, id -> newLoan(report, nowNanos));
        if (report.number() <= loan.lastNumber()) {
            return Optional.empty();
        }
        loan.applyReport(report);
        refund(report.returned(), nowNanos);
        final ShareGrant grant = grant(borrower, loan, report, nowNanos);
        loan.recordGrant(new LentShare(
                report.number(),
                grant.rate(),
                grant.capacity(),
                grant.surgeCapacity(),
                nowNanos + RateSettings.withDrift(grant.surgeLifetime()),
                nowNanos + settings.accountedStandbyNanos(),
                nowNanos + RateSettings.withDrift(grant.lifetime())));
        free -= grant.units();
        ledger.lend(grant.units(), nowNanos);
        free = Math.max(0, Math.min(free, freeCapacity(nowNanos)));
        check(nowNanos);
        return Optional.of(grant);
    }

    /**
     * Returns whether the account can be dropped because a new one would have the same state.
     *
     * @param nowNanos the current monotonic time
     * @return true if nothing is lent and the free units are at the burst
     */
    boolean idle(final long nowNanos) {
        fill(nowNanos);
        return loans.isEmpty() && free >= limit.burst() - TOLERANCE;
    }

    private Loan newLoan(final ShareReport report, final long now) {
        final Loan loan = new Loan();
        if (report.appliedNumber() != 0 && now < unknownEndNanos) {
            loan.recordEarlierShare(new LentShare(
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

    private void refund(final double units, final long now) {
        final double refunded = Math.max(0, Math.min(units, freeCapacity(now) - free));
        free += refunded;
        ledger.refund(refunded, now);
    }

    private ShareGrant grant(final BorrowerId borrower, final Loan loan, final ShareReport report, final long now) {
        final double totalDemand =
                loans.values().stream().mapToDouble(Loan::demand).sum();
        final double fraction = totalDemand > 0 ? report.demand() / totalDemand : 0;
        final double allowed = Math.max(0, spareCapacity(now) + loan.capacity(now));
        final double capacity = Math.min(allowed, baseCapacity(loan, report, fraction, now));
        final double urgent = Math.min(free, Math.max(0, report.waiting() - report.level()));
        final double requested = Math.min(capacity, report.stock()) + report.waiting() - report.level() - urgent;
        final double advance = Math.min(Math.max(0, requested), (free - urgent) * fraction);
        final double units = Math.max(0, Math.min(allowed - report.level(), urgent + advance));
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
                nextReport(missing, now),
                RetryDelay.of(missing, limit.perSecond()));
    }

    private double baseCapacity(final Loan loan, final ShareReport report, final double fraction, final long now) {
        final double lendableBase = maxLendableUnits(limit) * BASE_CAPACITY_FRACTION;
        final double fair = Math.max(lendableBase * FAIR_SHARE_FRACTION * fraction, MIN_LENDABLE_UNITS);
        final double others = loans.values().stream()
                        .mapToDouble(other -> other.baseCapacity(now))
                        .sum()
                - loan.baseCapacity(now);
        final double spare = lendableBase - others - (now < unknownEndNanos ? unknownCapacity : 0);
        final double even = lendableBase * FAIR_SHARE_FRACTION / loans.size();
        final double min = report.demand() > 0 && even >= MIN_LENDABLE_UNITS ? Math.min(even, MIN_BASE_CAPACITY) : 0;
        final double requested = Math.max(min, Math.max(report.stock(), report.demand()));
        final double units = Math.min(Math.min(Math.max(fair, min), spare), requested);
        return units < MIN_LENDABLE_UNITS ? 0 : units;
    }

    private double standbyRate(final Loan loan, final long now) {
        final double others = loans.entrySet().stream()
                .filter(entry -> !entry.getKey().vm().equals(self))
                .map(Map.Entry::getValue)
                .filter(other -> other != loan && other.baseCapacity(now) > 0)
                .mapToDouble(Loan::demand)
                .sum();
        final double fraction = loan.demand() / (others + loan.demand());
        return Math.max(0, Math.min(limit.perSecond() * fraction, spareRate(now) + loan.rate(now)));
    }

    private Duration nextReport(final double missing, final long now) {
        if (missing <= 0) {
            return settings.reportPeriod();
        }
        final Duration delay = RetryDelay.of(Math.min(missing, 1), freeRefillRate(now));
        final Duration bounded = delay.compareTo(MAX_NEXT_REPORT) > 0 ? MAX_NEXT_REPORT : delay;
        return bounded.compareTo(settings.retryPeriod()) < 0 ? settings.retryPeriod() : bounded;
    }

    private double spareRate(final long now) {
        return limit.perSecond() - unknownRate(now) - totalRate(now);
    }

    private double spareCapacity(final long now) {
        return maxLendableUnits(limit) - unknownCapacity(now) - totalCapacity(now);
    }

    private double freeCapacity(final long now) {
        return Math.max(0, limit.burst() - unknownCapacity(now) - totalCapacity(now));
    }

    private double freeRefillRate(final long now) {
        final double lent = loans.values().stream()
                .mapToDouble(loan -> loan.refillRate(now))
                .sum();
        return Math.max(0, limit.perSecond() - unknownRate(now) - lent);
    }

    private double unknownRate(final long now) {
        return now < unknownEndNanos ? unknownRate : 0;
    }

    private double unknownCapacity(final long now) {
        final double base = now < unknownEndNanos ? unknownCapacity : 0;
        return base + (now < unknownSurgeEndNanos ? unknownSurge : 0);
    }

    private double totalRate(final long now) {
        return loans.values().stream().mapToDouble(loan -> loan.rate(now)).sum();
    }

    private double totalCapacity(final long now) {
        return loans.values().stream().mapToDouble(loan -> loan.capacity(now)).sum();
    }

    private void fill(final long now) {
        while (filledNanos < now) {
            final long from = filledNanos;
            final long until = Math.min(now, nextChangeNanos(from));
            final double seconds = (until - from) / NANOS_PER_SECOND;
            final double rate = freeRefillRate(from);
            free = Math.max(0, Math.min(free + rate * seconds, freeCapacity(from)));
            ledger.refillLoans(limit.perSecond() - rate, until);
            filledNanos = until;
        }
        loans.values().removeIf(loan -> loan.expired(now));
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
        final boolean oldLimitApplies = now < oldLimitEndNanos;
        final double rate = oldLimitApplies ? checkedRate : limit.perSecond();
        final double burst = oldLimitApplies ? checkedBurst : limit.burst();
        final double rates = totalRate(now) + unknownRate(now);
        final double units = free + totalCapacity(now) + unknownCapacity(now);
        final double tolerance = TOLERANCE * (1 + rate + burst);
        invariants.check(
                rates <= rate + tolerance && units <= burst + tolerance && (oldLimitApplies || ledger.withinLimit()),
                Invariant.LENT_WITHIN_RATE,
                () -> "team " + team + ": lent rate " + rates + " of " + rate + ", free and lent units " + units
                        + " of " + burst + ", ledger " + ledger);
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
