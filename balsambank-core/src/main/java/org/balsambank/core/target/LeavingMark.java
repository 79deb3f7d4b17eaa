package org.balsambank.core.target;

/**
 * Whether one start of a target has said in a response that it leaves.
 *
 * <p>A target that leaves does not change its mind, so only a new start ends the mark, whatever the target announces.
 * Immutable and thread-safe.
 *
 * @param set true once a response has said so
 */
public record LeavingMark(boolean set) {
    /** No response has said so. */
    public static final LeavingMark NONE = new LeavingMark(false);

    /**
     * Returns the mark after a response that says so.
     *
     * @return a mark that is set
     */
    public LeavingMark withNotice() {
        return new LeavingMark(true);
    }

    /**
     * Returns the mark after a new announcement of the target.
     *
     * @param restarted whether it is of another start
     * @return this mark, or none after a restart
     */
    public LeavingMark afterAnnouncement(final boolean restarted) {
        return restarted ? NONE : this;
    }
}
