package org.balsambank.core.request;

/**
 * Limits the retries of this VM to a share of its requests.
 *
 * <p>Invariant: the number of retries is at most reserve + share x requests. Confined to the decision loop.
 */
public final class RetryBudget {
    /** Default number of retries earned per request. */
    public static final double SHARE = 0.2;
    /** Default maximum number of accumulated retries. */
    public static final double RESERVE = 20;

    private final double share;
    private final double reserve;
    private double availableRetries;

    /** Creates a full budget of the default size. */
    public RetryBudget() {
        this(SHARE, RESERVE);
    }

    /**
     * Creates a full budget.
     *
     * @param share the number of retries earned per request
     * @param reserve the maximum number of accumulated retries, which is also the initial number
     */
    public RetryBudget(final double share, final double reserve) {
        this.share = share;
        this.reserve = reserve;
        this.availableRetries = reserve;
    }

    /** Records a request, which adds the share to the available retries. */
    public void recordRequest() {
        availableRetries = Math.min(reserve, availableRetries + share);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries -= 1;
        return true;
    }
}
