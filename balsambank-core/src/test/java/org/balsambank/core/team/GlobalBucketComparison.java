package org.balsambank.core.team;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.catalogue.RateLimit;

/**
 * Compares the admissions of a fleet for one team with one global token bucket. Confined to one thread.
 *
 * <p>Refusals in excess of those of the global bucket in the same 10 seconds count as wrongful.
 */
final class GlobalBucketComparison {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RateLimit limit;
    private final TokenBucket reference;
    private final List<int[]> windows = new ArrayList<>();
    private double level;
    private long levelNanos;
    private double overAdmitted;

    GlobalBucketComparison(final RateLimit limit) {
        this.limit = limit;
        this.reference = new TokenBucket(limit, limit.burst(), 0);
        this.level = limit.burst();
    }

    void offered(final long now) {
        final int[] window = window(now);
        window[0]++;
        if (!reference.take(1, now)) {
            window[1]++;
        }
    }

    /** Records an admission. A level below zero is the excess of some window over rate x time + burst. */
    void admitted(final long now) {
        level = Math.min(limit.burst(), level + (now - levelNanos) / NANOS_PER_SECOND * limit.perSecond()) - 1;
        levelNanos = now;
        overAdmitted = Math.max(overAdmitted, -level);
    }

    void refused(final long offeredNanos) {
        window(offeredNanos)[2]++;
    }

    /** Returns the largest excess of any window over rate x time + burst, in units. */
    double overAdmitted() {
        return overAdmitted < 1e-6 ? 0 : overAdmitted;
    }

    /** Returns the wrongful refusals as a percentage of the requests offered between two times. */
    double wrongfulPercent(final long fromSeconds, final long toSeconds) {
        int offered = 0;
        int wrongful = 0;
        for (int i = (int) (fromSeconds / 10); i < Math.min(windows.size(), toSeconds / 10); i++) {
            offered += windows.get(i)[0];
            wrongful += Math.max(0, windows.get(i)[2] - windows.get(i)[1]);
        }
        return offered == 0 ? 0 : 100.0 * wrongful / offered;
    }

    private int[] window(final long now) {
        final int index = (int) (now / WINDOW_NANOS);
        while (windows.size() <= index) {
            windows.add(new int[3]);
        }
        return windows.get(index);
    }
}
