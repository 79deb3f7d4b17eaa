package org.balsambank.core.request;

import java.util.Objects;

import org.balsambank.core.catalogue.RateUnit;

/**
 * Works out which of the units taken from a team's rate a request used.
 *
 * <p>Invariant: the units used are between 0 and the units granted. Confined to the decision loop.
 */
final class RateUsage {
    private static final int BYTES_PER_TOKEN = 4;

    private final RequestPlan plan;
    private final double granted;
    private final ResponseProgress progress = new ResponseProgress();

    /**
     * Creates the account of a request.
     *
     * @param plan what the request comes to
     * @param granted the units taken
     */
    RateUsage(final RequestPlan plan, final double granted) {
        this.plan = Objects.requireNonNull(plan);
        this.granted = granted;
    }

    /**
     * Returns what of the answer was passed on.
     *
     * @return the progress of the request
     */
    ResponseProgress progress() {
        return progress;
    }

    /**
     * Returns the units used.
     *
     * @param state the state of the request
     * @return 0 if the request did not run
     */
    double units(final RequestState state) {
        if (!progress.started() && !state.mayHaveRun()) {
            return 0;
        }
        if (plan.rateUnit() == RateUnit.REQUESTS || plan.adapter().isEmpty()) {
            return granted;
        }
        if (progress.reportedTotal() > 0) {
            return Math.min(granted, progress.reportedTotal());
        }
        if (progress.tokens() == 0) {
            return granted;
        }
        return Math.min(granted, progress.tokens() + (double) plan.body().size() / BYTES_PER_TOKEN);
    }
}
