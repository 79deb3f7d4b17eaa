package org.balsambank.standin.load;

import java.util.Comparator;
import java.util.List;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;

/**
 * Computes a lower bound on the excess of a team over its rate and burst: over the worst window, the cost of the
 * requests both sent and answered inside it, less what the rate and burst allow for the window.
 *
 * <p>Immutable and thread-safe.
 */
final class RateExcessCheck {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RateLimit limit;

    /**
     * Creates a check.
     *
     * @param limit the rate and burst of the team
     */
    RateExcessCheck(final RateLimit limit) {
        this.limit = limit;
    }

    /**
     * Returns the excess in the worst window.
     *
     * @param served the requests that ran
     * @return units above the rate and burst, 0 if no window has an excess
     */
    double maxExcess(final List<RequestInterval> served) {
        final List<RequestInterval> byEnd = served.stream()
                .sorted(Comparator.comparingLong(RequestInterval::endNanos))
                .toList();
        double max = 0;
        for (final RequestInterval first : served) {
            max = Math.max(max, maxExcessFrom(first.startNanos(), byEnd));
        }
        return max;
    }

    private double maxExcessFrom(final long fromNanos, final List<RequestInterval> byEnd) {
        double max = 0;
        double used = 0;
        for (final RequestInterval interval : byEnd) {
            if (interval.startNanos() < fromNanos) {
                continue;
            }
            used += limit.unit() == RateUnit.TOKENS ? interval.tokens() : 1;
            final double allowed =
                    limit.perSecond() * (interval.endNanos() - fromNanos) / NANOS_PER_SECOND + limit.burst();
            max = Math.max(max, used - allowed);
        }
        return max;
    }

    /**
     * The interval in which a request started to run: from sending it to its first token.
     *
     * <p>Immutable and thread-safe.
     *
     * @param startNanos when it was sent
     * @param endNanos when its first token arrived
     * @param tokens the cost of the request if the rate counts tokens
     */
    record RequestInterval(long startNanos, long endNanos, int tokens) {}
}
