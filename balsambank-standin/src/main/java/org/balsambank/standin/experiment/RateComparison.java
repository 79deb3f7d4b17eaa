package org.balsambank.standin.experiment;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.team.TokenBucket;

/**
 * Compares the admissions of a fleet for one team with a reference token bucket for the whole fleet.
 *
 * <p>Rejections are excess if a window of 10 seconds has more of them than the reference bucket rejects in it. Confined
 * to one thread.
 */
final class RateComparison {
    private static final int WINDOW_SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING_TOLERANCE_UNITS = 1e-6;
    private static final double PERCENT = 100;

    private final RateLimit limit;
    private final TokenBucket reference;
    private final List<Window> windows = new ArrayList<>();
    private double auditLevel;
    private long auditNanos;
    private double overAdmitted;

    /**
     * Creates a comparison with a full reference bucket.
     *
     * @param limit the rate and burst
     */
    RateComparison(final RateLimit limit) {
        this.limit = limit;
        this.reference = new TokenBucket(limit, limit.burst(), 0);
        this.auditLevel = limit.burst();
    }

    /**
     * Records an offered request.
     *
     * @param nowNanos the virtual time
     */
    void recordOffered(final long nowNanos) {
        final Window window = window(nowNanos);
        window.offered++;
        if (!reference.take(1, nowNanos)) {
            window.expectedRejections++;
        }
    }

    /**
     * Records an admission.
     *
     * @param nowNanos the virtual time
     */
    void recordAdmitted(final long nowNanos) {
        final double filled = (nowNanos - auditNanos) / NANOS_PER_SECOND * limit.perSecond();
        auditLevel = Math.min(limit.burst(), auditLevel + filled) - 1;
        auditNanos = nowNanos;
        overAdmitted = Math.max(overAdmitted, -auditLevel);
    }

    /**
     * Records a rejection.
     *
     * @param offeredNanos the virtual time at which the request was offered
     */
    void recordRejected(final long offeredNanos) {
        window(offeredNanos).rejected++;
    }

    /**
     * Returns the units that the worst window admitted above rate x time + burst.
     *
     * @return the units; 0 if below the rounding tolerance
     */
    double overAdmitted() {
        return overAdmitted < ROUNDING_TOLERANCE_UNITS ? 0 : overAdmitted;
    }

    /**
     * Returns the percentage of offered requests that were rejected in excess of the reference bucket.
     *
     * @param fromSeconds the start of the evaluated time, in virtual seconds
     * @param toSeconds the end of the evaluated time, exclusive
     * @return the percentage, 0 without requests
     */
    double excessRejectionPercent(final int fromSeconds, final int toSeconds) {
        int offered = 0;
        int excess = 0;
        for (int i = fromSeconds / WINDOW_SECONDS; i < Math.min(windows.size(), toSeconds / WINDOW_SECONDS); i++) {
            offered += windows.get(i).offered;
            excess += Math.max(0, windows.get(i).rejected - windows.get(i).expectedRejections);
        }
        return offered == 0 ? 0 : PERCENT * excess / offered;
    }

    private Window window(final long nowNanos) {
        final int index = (int) (nowNanos / NANOS_PER_SECOND / WINDOW_SECONDS);
        while (windows.size() <= index) {
            windows.add(new Window());
        }
        return windows.get(index);
    }

    /** The counts of one window. Confined to one thread. */
    private static final class Window {
        private int offered;
        private int expectedRejections;
        private int rejected;
    }
}
