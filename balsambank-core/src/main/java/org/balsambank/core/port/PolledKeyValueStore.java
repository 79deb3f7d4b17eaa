package org.balsambank.core.port;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/** A key-value service whose changes are read by long polling. Calls fail as in {@link KeyValueStore}. */
public interface PolledKeyValueStore extends KeyValueStore {
    /**
     * Polls for changes. The service waits for a change if there is none yet.
     *
     * @param prefix the key prefix
     * @param afterRevision the store revision after which changes are returned
     * @param wait the maximum time that the service waits for a change
     * @return the changes, oldest first, and the revision up to which they are complete; fails with reason
     *     {@code HISTORY_GONE} if those changes are no longer available
     */
    Single<Changes> changes(String prefix, long afterRevision, Duration wait);

    /**
     * Watches for changes by polling repeatedly.
     *
     * @param prefix the key prefix
     * @param afterRevision the store revision after which changes are returned
     * @param wait the maximum time that the service waits for a change in each poll
     * @return the changes, oldest first; never completes, and fails when a poll fails
     */
    default Flowable<KeyValueChange> watch(final String prefix, final long afterRevision, final Duration wait) {
        return Flowable.defer(() -> {
            final AtomicLong seen = new AtomicLong(afterRevision);
            return Single.defer(() -> changes(prefix, seen.get(), wait))
                    .doOnSuccess(page -> seen.set(page.revision()))
                    .flattenAsFlowable(Changes::changes)
                    .repeat();
        });
    }

    /**
     * The result of a poll.
     *
     * @param changes the changes, oldest first
     * @param revision the store revision up to which the changes are complete
     */
    record Changes(List<KeyValueChange> changes, long revision) {
        /** Copies the changes. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }
}
