package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * Where a request goes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param needsLoad whether its adapter has to be loaded there first
 * @param estimateMillis the time to the first piece, loads included
 * @param readMillis the part of it that is spent at the target, without the target's pace
 * @param loss what the choice is expected to cost
 */
public record TargetChoice(
        TargetAnnouncement target, boolean needsLoad, double estimateMillis, double readMillis, double loss) {}
