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
 * Decides whether and when the entry VM retries a request. No other component retries requests.
 *
 * <p>Invariants: a request that must not run twice is retried only if it certainly did not run; a request is never
 * retried after its target was lost while running it, because it may have crashed the target; a started stream is
 * resumed only if every run produces the same tokens. Confined to the decision loop.
 */
public final class RetryPolicy {
    /** Maximum number of attempts per request. */
    public static final int MAX_ATTEMPTS = 4;

    private static final Duration FIRST_DELAY = Duration.ofMillis(10);
    private static final double MIN_JITTER = 0.5;
    private static final Set<ErrorKind> RETRYABLE_NOT_RUN = EnumSet.of(
            ErrorKind.NO_TARGET,
            ErrorKind.NO_OWNER,
            ErrorKind.OVERLOADED,
            ErrorKind.ADAPTER_LOAD_FAILED,
            ErrorKind.ISOLATED,
            ErrorKind.STOPPING);
    private static final Set<ErrorKind> RETRYABLE_IF_REPEATABLE =
            EnumSet.of(ErrorKind.PEER_LOST, ErrorKind.TARGET_FAILED, ErrorKind.WRONG_ADAPTER);

    private final RetryBudget budget;
    private final RandomGenerator random;
    private final Counter retries;
    private final Counter overBudget;

    /**
     * Creates a policy.
     *
     * @param budget limits the retries of this VM
     * @param random the source of the delay jitter
     * @param registry the registry for the retry counters
     */
    public RetryPolicy(final RetryBudget budget, final RandomGenerator random, final MeterRegistry registry) {
        this.budget = Objects.requireNonNull(budget);
        this.random = Objects.requireNonNull(random);
        this.retries = registry.counter("balsambank.request.retries");
        this.overBudget = registry.counter("balsambank.request.retries.over.budget");
    }

    /** Records a request, which adds to the retry budget. */
    void recordRequest() {
        budget.recordRequest();
    }

    /**
     * Returns the delay before the next attempt after a failed one, and takes a retry from the budget.
     *
     * @param error the error of the failed attempt
     * @param plan the request plan
     * @param progress the progress of the response
     * @param attempt the number of the failed attempt, from 1
     * @param remaining the time until the deadline
     * @return the delay before the next attempt, or empty if the request is not retried
     */
    Optional<Duration> delay(
            final BalsambankException error,
            final RequestPlan plan,
            final ResponseProgress progress,
            final int attempt,
            final Duration remaining) {
        if (attempt >= MAX_ATTEMPTS || !allowed(error.kind(), plan, progress)) {
            return Optional.empty();
        }
        final double jitter = MIN_JITTER + random.nextDouble();
        final Duration delay = Duration.ofNanos((long) (FIRST_DELAY.toNanos() * (1 << (attempt - 1)) * jitter));
        if (delay.compareTo(remaining) >= 0) {
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
            return RETRYABLE_NOT_RUN.contains(kind) && (!progress.started() || plan.resumable());
        }
        if (progress.started()) {
            return kind == ErrorKind.PEER_LOST && plan.resumable();
        }
        return plan.repeatable() && RETRYABLE_IF_REPEATABLE.contains(kind);
    }
}
