package org.balsambank.standin.load;

import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * The result of a run.
 *
 * <p>Must not be modified.
 *
 * @param settings the settings of the run
 * @param records the calls with their results
 * @param actions the completed actions
 * @param referenceBuckets the reference token bucket of each team, by team id
 * @param targetStats the counters of the targets at the end of the run
 * @param unauthorizedRuns how many calls ran that their key did not allow
 * @param serviceRuns how often each call ran at the plain services, by idempotency key
 * @param tokenGaps the times between tokens of a stream, in nanoseconds
 */
public record LoadResult(
        LoadSettings settings,
        List<CallRecord> records,
        List<CompletedAction> actions,
        Map<String, ReferenceTokenBucket> referenceBuckets,
        TargetStatsSampler targetStats,
        int unauthorizedRuns,
        Map<String, Long> serviceRuns,
        Histogram tokenGaps) {}
