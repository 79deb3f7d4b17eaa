package org.balsambank.daemon.http;

import java.util.Objects;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.vertx.core.Vertx;

/**
 * Counts the requests of callers from the arrival of their heads until their responses are written, so that a planned
 * stop can wait for them.
 *
 * <p>Confined to the decision loop.
 */
final class OpenRequests {
    private final Vertx vertx;
    private final CompletableSubject drained = CompletableSubject.create();
    private long entered;
    private int count;
    private boolean stopping;

    /**
     * Creates an instance without requests.
     *
     * @param vertx the event loop
     */
    OpenRequests(final Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx);
    }

    /** Counts a request whose head has arrived. */
    void enter() {
        entered++;
        count++;
    }

    /** Counts a request whose response is written, or whose connection is lost. */
    void leave() {
        count--;
        completeIfDrained();
    }

    /**
     * Waits for the open requests. Requests that arrive meanwhile are waited for too.
     *
     * @return completes when no request is open and none waits in a socket
     */
    Completable stop() {
        stopping = true;
        completeIfDrained();
        return drained;
    }

    private void completeIfDrained() {
        if (stopping && count == 0) {
            final long seen = entered;
            vertx.setTimer(ReadTurn.SHORTEST_TIMER_MILLIS, id -> ReadTurn.then(vertx, () -> completeIfNoneSince(seen)));
        }
    }

    private void completeIfNoneSince(final long seen) {
        if (entered == seen) {
            drained.onComplete();
        }
    }
}
