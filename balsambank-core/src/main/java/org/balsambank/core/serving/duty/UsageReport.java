package org.balsambank.core.serving.duty;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.balsambank.core.id.TeamId;

/**
 * The number of requests of each team that targets began to run in a window.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window the number of the window; window k begins k times its length after the start of 1970
 * @param counts the requests by the name of the team, in the order of the names
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {
    /** Copies the counts. */
    public UsageReport {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /**
     * Creates a report.
     *
     * @param window the number of the window
     * @param counts the requests by team
     * @return the report
     */
    public static UsageReport of(final long window, final Map<TeamId, Long> counts) {
        final SortedMap<String, Long> byName = new TreeMap<>();
        counts.forEach((team, count) -> byName.put(team.value(), count));
        return new UsageReport(window, byName);
    }

    /**
     * Returns the sum over all teams.
     *
     * @return the number of requests
     */
    public long sum() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
