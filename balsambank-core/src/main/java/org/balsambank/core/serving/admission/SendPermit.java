package org.balsambank.core.serving.admission;

import java.time.Duration;

import org.balsambank.core.target.TargetLimit;

/**
 * The answer to the request for a permit to send one request to a target that limits its requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param granted whether there is a permit
 * @param delay the time until the permit may be used; without one, the time until one can be had
 * @param limit the limit under which it was decided
 */
public record SendPermit(boolean granted, Duration delay, TargetLimit limit) {
    /**
     * Returns a permit that may be used at once.
     *
     * @param limit the limit
     * @return the permit
     */
    public static SendPermit immediate(final TargetLimit limit) {
        return new SendPermit(true, Duration.ZERO, limit);
    }

    /**
     * Returns a refusal.
     *
     * @param delay the time until a permit can be had
     * @param limit the limit
     * @return the refusal
     */
    public static SendPermit refused(final Duration delay, final TargetLimit limit) {
        return new SendPermit(false, delay, limit);
    }
}
