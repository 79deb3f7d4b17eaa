package org.balsambank.core.target;

import java.util.Optional;

/**
 * What a VM believes of the limit that one start of a target has named.
 *
 * <p>Responses may overtake each other. A lower limit is therefore believed at once, a higher one or the end of a limit
 * only if the request was sent after the last response that named the lower one. Immutable and thread-safe.
 *
 * @param limit the limit
 * @param number the number of the change that has brought it, 0 if there was none
 * @param heardNanos when this VM last heard of it, on the monotonic clock
 */
public record LimitBelief(TargetLimit limit, long number, long heardNanos) {
    /** The target has never named a limit. */
    public static final LimitBelief UNKNOWN = new LimitBelief(TargetLimit.NONE, 0, Long.MIN_VALUE / 2);

    /**
     * Returns what to believe after a response.
     *
     * @param named the limit that the response names
     * @param sentNanos when the request was sent, on the monotonic clock
     * @param nowNanos the current monotonic time
     * @return the new belief, empty if the response changes nothing
     */
    public Optional<LimitBelief> afterResponse(final TargetLimit named, final long sentNanos, final long nowNanos) {
        if (named.equals(limit)) {
            return limit.limited() ? Optional.of(new LimitBelief(limit, number, nowNanos)) : Optional.empty();
        }
        if (!named.stricterThan(limit) && sentNanos - heardNanos < 0) {
            return Optional.empty();
        }
        return Optional.of(new LimitBelief(named, number + 1, nowNanos));
    }

    /**
     * Returns whether another VM knows a later change.
     *
     * @param otherLimit the limit that it believes
     * @param otherNumber the number of the change that has brought it
     * @return true if its belief replaces this one
     */
    public boolean olderThan(final TargetLimit otherLimit, final long otherNumber) {
        return otherNumber > number || otherNumber == number && otherLimit.stricterThan(limit);
    }
}
