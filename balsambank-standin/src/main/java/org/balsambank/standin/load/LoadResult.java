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
 * @param actions the completed operator actions of the schedule, such as taking out a failure domain
 * @param referenceBuckets the reference token bucket of each team, by team id
 * @param targetStatsSampler the sampler that holds the last counters of the targets
 * @param unauthorizedRuns the number of calls that ran although their API key does not allow them
 * @param serviceRuns how often each call ran at the plain services, by idempotency key
 * @param tokenGaps the times between tokens of a stream, in nanoseconds
 */
public record LoadResult(
        LoadSettings settings,
        List<CallRecord> records,
        List<CompletedAction> actions,
        Map<String, ReferenceTokenBucket> referenceBuckets,
        TargetStatsSampler targetStatsSampler,
        int unauthorizedRuns,
        Map<String, Long> serviceRuns,
        Histogram tokenGaps) {}
