package org.balsambank.core.target;

/**
 * Permission for one adapter load. It counts against the limit until it is released.
 *
 * <p>Confined to the decision loop.
 */
public interface LoadSlot {
    /** Releases the slot. Later calls have no effect. */
    void release();
}
