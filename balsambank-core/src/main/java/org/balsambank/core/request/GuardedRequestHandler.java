package org.balsambank.core.request;

import java.util.Objects;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.store.IsolationGuard;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Rejects requests while this VM is isolated, because an isolated VM cannot know which keys were withdrawn.
 *
 * <p>Confined to the decision loop.
 */
public final class GuardedRequestHandler implements RequestHandler {
    private final IsolationGuard guard;
    private final RequestHandler handler;

    /**
     * Creates a handler.
     *
     * @param guard detects whether this VM is isolated
     * @param handler runs the requests while this VM is not isolated
     */
    public GuardedRequestHandler(final IsolationGuard guard, final RequestHandler handler) {
        this.guard = Objects.requireNonNull(guard);
        this.handler = Objects.requireNonNull(handler);
    }

    @Override
    public Flowable<RelayEvent> handle(final CallerRequest request) {
        return Flowable.defer(() -> guard.isolated()
                ? Flowable.error(new BalsambankException(
                        ErrorKind.ISOLATED, "this VM is cut off from the key-value service and from most VMs"))
                : handler.handle(request));
    }
}
