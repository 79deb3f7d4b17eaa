package org.balsambank.core.request;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Runs a caller's request.
 *
 * <p>Confined to the decision loop.
 */
public interface RequestHandler {
    /**
     * Runs a request and emits its response: a head, chunks and an end. The flow completes only after the end of a
     * complete response; otherwise it fails with a {@code BalsambankException}. Disposing the subscription means that
     * the caller disconnected; it cancels the request at the target, except for a call with an idempotency key.
     *
     * @param request the request of a caller
     * @return the events of the response, with backpressure; a subscription starts the request
     */
    Flowable<RelayEvent> handle(CallerRequest request);
}
