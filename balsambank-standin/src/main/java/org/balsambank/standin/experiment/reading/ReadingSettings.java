package org.balsambank.standin.experiment.reading;

/**
 * The size and length of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vms the number of VMs; callers are distributed evenly
 * @param targets the number of model runners
 * @param adapters the number of adapters, requested with a Zipf distribution
 * @param ratePerSecond the requests a second over all VMs
 * @param seconds the virtual seconds in which requests are sent
 * @param digestMillis the time between two digests of a VM to the others, in milliseconds
 * @param seed the seed of all random choices
 */
record ReadingSettings(
        int vms, int targets, int adapters, double ratePerSecond, int seconds, int digestMillis, long seed) {}
