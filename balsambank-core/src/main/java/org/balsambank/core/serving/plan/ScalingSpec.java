package org.balsambank.core.serving.plan;

/**
 * How the number of targets of a service may be changed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param minCount the least number of targets in each failure domain
 * @param maxCount the greatest number of targets in each failure domain
 * @param bootMillis the time from the order for a target until it serves
 */
public record ScalingSpec(int minCount, int maxCount, long bootMillis) {}
