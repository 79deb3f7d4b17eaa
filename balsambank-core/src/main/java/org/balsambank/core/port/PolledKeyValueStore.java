package org.balsambank.core.port;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/** A key-value service whose changes can be asked for one question at a time. Errors as in {@link KeyValueStore}. */
public interface PolledKeyValueStore extends KeyValueStore {
    /**
     * Asks for changes, and waits for some if there are none.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are wanted
     * @param wait how long the service waits for a change
     * @return the changes, oldest first, and the revision up to which there are no others; fails with reason
     *     {@code HISTORY_GONE} if they are no longer known
     */
    Single<Changes> changes(String prefix, long afterRevision, Duration wait);

    /**
     * Asks for changes again and again.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are wanted
     * @param wait how long the service waits for a change to each question
     * @return the changes, oldest first; does not complete, fails as a question does
     */
    default Flowable<KeyValueChange> watch(final String prefix, final long afterRevision, final Duration wait) {
        return Flowable.defer(() -> {
            final AtomicLong seen = new AtomicLong(afterRevision);
            return Single.defer(() -> changes(prefix, seen.get(), wait))
                    .doOnSuccess(answer -> seen.set(answer.revision()))
                    .flattenAsFlowable(Changes::changes)
                    .repeat();
        });
    }

    /**
     * What has changed.
     *
     * @param changes the changes, oldest first
     * @param revision the revision up to which there are no others
     */
    record Changes(List<KeyValueChange> changes, long revision) {
        /** Takes a copy of the changes. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }
}
