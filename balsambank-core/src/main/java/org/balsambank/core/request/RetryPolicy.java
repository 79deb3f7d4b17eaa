package org.balsambank.core.request;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.error.Executed;

/**
 * Decides whether and when the entry VM sends a request again. No other part retries requests.
 *
 * <p>Invariants: a request that may not run twice is sent again only if it surely did not run; nothing is sent again
 * after its target was lost while it ran, since it may have crashed the target; a stream that has begun goes on only if
 * each run gives the same tokens. Confined to the decision loop.
 */
public final class RetryPolicy {
    /** How often a request is sent at the most. */
    public static final int MAX_ATTEMPTS = 4;

    private static final Duration FIRST_DELAY = Duration.ofMillis(10);
    private static final double JITTER_LOW = 0.5;
    private static final Set<ErrorKind> ELSEWHERE = EnumSet.of(
            ErrorKind.NO_TARGET,
            ErrorKind.NO_OWNER,
            ErrorKind.OVERLOADED,
            ErrorKind.ADAPTER_LOAD_FAILED,
            ErrorKind.ISOLATED,
            ErrorKind.STOPPING);
    private static final Set<ErrorKind> RUN_AGAIN =
            EnumSet.of(ErrorKind.PEER_LOST, ErrorKind.TARGET_FAILED, ErrorKind.WRONG_ADAPTER);

    private final RetryBudget budget;
    private final RandomGenerator random;
    private final Counter retries;
    private final Counter overBudget;

    /**
     * Creates a policy.
     *
     * @param budget bounds the retries of this VM
     * @param random spreads the delays
     * @param registry counts retries
     */
    public RetryPolicy(final RetryBudget budget, final RandomGenerator random, final MeterRegistry registry) {
        this.budget = Objects.requireNonNull(budget);
        this.random = Objects.requireNonNull(random);
        this.retries = registry.counter("balsambank.request.retries");
        this.overBudget = registry.counter("balsambank.request.retries.over.budget");
    }

    /** Notes a request, which earns its share of a retry. */
    void request() {
        budget.recordRequest();
    }

    /**
     * Decides on a failed attempt.
     *
     * @param error how it failed
     * @param plan what the request comes to
     * @param progress what was passed on
     * @param attempt the number of the attempt, from 1
     * @param left the time until the deadline
     * @return the delay before the next attempt, or empty if there is none
     */
    Optional<Duration> delay(
            final BalsambankException error,
            final RequestPlan plan,
            final ResponseProgress progress,
            final int attempt,
            final Duration left) {
        if (attempt >= MAX_ATTEMPTS || !allowed(error.kind(), plan, progress)) {
            return Optional.empty();
        }
        final double spread = JITTER_LOW + random.nextDouble();
        final Duration delay = Duration.ofNanos((long) (FIRST_DELAY.toNanos() * (1 << (attempt - 1)) * spread));
        if (delay.compareTo(left) >= 0) {
            return Optional.empty();
        }
        if (!budget.tryAcquire()) {
            overBudget.increment();
            return Optional.empty();
        }
        retries.increment();
        return Optional.of(delay);
    }

    private static boolean allowed(final ErrorKind kind, final RequestPlan plan, final ResponseProgress progress) {
        if (kind.executed() == Executed.NO) {
            return ELSEWHERE.contains(kind) && (!progress.started() || plan.resumable());
        }
        if (progress.started()) {
            return kind == ErrorKind.PEER_LOST && plan.resumable();
        }
        return plan.repeatable() && RUN_AGAIN.contains(kind);
    }
}
