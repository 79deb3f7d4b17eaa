package org.balsambank.core.request;

/**
 * Bounds retries to a share of the requests of this VM.
 *
 * <p>Invariant: retries are at most the reserve + the share x requests. Confined to the decision loop.
 */
public final class RetryBudget {
    /** Retries allowed for each request. */
    public static final double SHARE = 0.2;
    /** Retries allowed at once after a time without any. */
    public static final double RESERVE = 20;

    private final double share;
    private final double reserve;
    private double retries;

    /** Creates a full budget of the default size. */
    public RetryBudget() {
        this(SHARE, RESERVE);
    }

    /**
     * Creates a full budget.
     *
     * @param share retries allowed for each request
     * @param reserve retries allowed at once after a time without any
     */
    public RetryBudget(final double share, final double reserve) {
        this.share = share;
        this.reserve = reserve;
        this.retries = reserve;
    }

    /** Notes a request, which earns its share of a retry. */
    public void recordRequest() {
        retries = Math.min(reserve, retries + share);
    }

    /**
     * Takes one retry.
     *
     * @return false if the budget is used up
     */
    public boolean tryAcquire() {
        if (retries < 1) {
            return false;
        }
        retries -= 1;
        return true;
    }
}
