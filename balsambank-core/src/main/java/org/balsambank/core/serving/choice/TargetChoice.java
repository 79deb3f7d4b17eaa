package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * The target chosen for a request, with the estimates behind the choice.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param needsLoad whether the adapter must be loaded there first
 * @param estimateMillis the estimated time to the first chunk, including loads
 * @param processingMillis the part of it that the target needs for the request itself, without the target's slowdown
 * @param cost the expected cost of the choice
 */
public record TargetChoice(
        TargetAnnouncement target, boolean needsLoad, double estimateMillis, double processingMillis, double cost) {}
