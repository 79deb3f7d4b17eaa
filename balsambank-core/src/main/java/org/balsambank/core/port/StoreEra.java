package org.balsambank.core.port;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;

/**
 * The newest era of the key-value service that this VM knows, from the responses of the service and from other VMs.
 *
 * <p>Invariant: the era never decreases. Confined to the decision loop.
 */
public final class StoreEra {
    private final PublishProcessor<Long> newer = PublishProcessor.create();
    private long current;
    private boolean announced;
    private long copyEnd;

    /** Creates an instance in era 0. */
    public StoreEra() {}

    /**
     * Returns the newest known era.
     *
     * @return the era, 0 if none is known
     */
    public long current() {
        return current;
    }

    /**
     * Returns whether the service counts eras.
     *
     * @return false as long as neither a response nor another VM has named an era
     */
    public boolean announced() {
        return announced;
    }

    /**
     * Records an era that a response or another VM has named. The observers of {@link #changes()} are notified, in the
     * order in which they subscribed, before this method returns. An era that is earlier or out of range changes
     * nothing.
     *
     * @param era the era
     */
    public void learn(final long era) {
        announced = announced || era >= 0;
        if (era > current && era <= StoreRevision.MAX_ERA) {
            current = era;
            copyEnd = StoreRevision.of(era, StoreRevision.MAX_REVISION);
            newer.onNext(era);
        }
    }

    /**
     * Records a revision that the service has reached, and its era.
     *
     * @param composed the composed number
     */
    public void reached(final long composed) {
        final long era = StoreRevision.era(composed);
        if (era > 0) {
            learn(era);
        }
        if (era == current) {
            copyEnd = Math.min(copyEnd, composed);
        }
    }

    /**
     * Returns the lowest revision that the service is known to have reached in the newest era. The copy with which the
     * era began holds no higher revision, so an entry with a higher one was written in this era.
     *
     * @return the composed number; the highest one of the era as long as none is known, 0 in era 0
     */
    public long copyEnd() {
        return copyEnd;
    }

    /**
     * Returns the eras that begin from now on, as this VM learns of them.
     *
     * @return never completes
     */
    public Flowable<Long> changes() {
        return newer.onBackpressureBuffer();
    }
}
