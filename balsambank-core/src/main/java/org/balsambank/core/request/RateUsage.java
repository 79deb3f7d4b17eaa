package org.balsambank.core.request;

import java.util.Objects;

import org.balsambank.core.catalogue.RateUnit;

/**
 * Computes how many of the rate units granted to a request were used.
 *
 * <p>Invariant: the units used are between 0 and the units granted. Confined to the decision loop.
 */
final class RateUsage {
    private static final int BYTES_PER_TOKEN = 4;

    private final RequestPlan plan;
    private final double granted;
    private final ResponseProgress progress = new ResponseProgress();

    /**
     * Creates the usage of a request.
     *
     * @param plan the request plan
     * @param granted the units taken from the team's rate limit
     */
    RateUsage(final RequestPlan plan, final double granted) {
        this.plan = Objects.requireNonNull(plan);
        this.granted = granted;
    }

    /**
     * Returns the progress of the response, from which the usage is computed.
     *
     * @return the progress over all attempts
     */
    ResponseProgress progress() {
        return progress;
    }

    /**
     * Returns the units used.
     *
     * @param state the state of the request
     * @return the number of units; 0 if the request did not run
     */
    double units(final RequestState state) {
        if (!progress.started() && !state.mayHaveRun()) {
            return 0;
        }
        if (plan.rateUnit() == RateUnit.REQUESTS || plan.adapter().isEmpty()) {
            return granted;
        }
        if (progress.reportedTokens() > 0) {
            return Math.min(granted, progress.reportedTokens());
        }
        if (progress.tokens() == 0) {
            return granted;
        }
        return Math.min(granted, progress.tokens() + (double) plan.body().size() / BYTES_PER_TOKEN);
    }
}
