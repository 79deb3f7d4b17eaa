package org.balsambank.core.serving.target;

import java.util.Objects;

import org.balsambank.core.id.TargetId;

/**
 * One start of a target, which may keep its id when it starts anew.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param startedMillis its start time, in Unix milliseconds
 */
public record TargetStart(TargetId target, long startedMillis) {
    /** Checks the target. */
    public TargetStart {
        Objects.requireNonNull(target);
    }

    /**
     * Returns the start that an announcement is about.
     *
     * @param announcement the announcement
     * @return its start
     */
    public static TargetStart of(final TargetAnnouncement announcement) {
        return new TargetStart(announcement.id(), announcement.startedMillis());
    }
}
