package org.balsambank.standin.experiment.placement;

/**
 * The result of one placement policy.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the policy
 * @param sent the number of requests sent
 * @param rejected the number of requests that did not run
 * @param stalls the number of requests that waited for an adapter load
 * @param p50Millis the median wait of the stalled requests
 * @param p95Millis the 95th percentile of the waits
 * @param p99Millis the 99th percentile of the waits
 * @param meanBatch the mean number of requests that ran at once on a busy engine
 * @param loads the number of adapter loads
 * @param domainDrainMillis the time from taking a failure domain out of service to the last start of a request in it
 * @param violations the number of violated invariants
 */
record PlacementResult(
        String name,
        int sent,
        int rejected,
        int stalls,
        long p50Millis,
        long p95Millis,
        long p99Millis,
        double meanBatch,
        long loads,
        long domainDrainMillis,
        int violations) {
    /**
     * Returns the fraction of the requests that waited for a load.
     *
     * @return a number from 0 to 1
     */
    double stallShare() {
        return stalls / (double) sent;
    }
}
