package org.balsambank.core.request;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/** The peer methods that relay requests. Stateless and thread-safe. */
public final class RelayMethods {
    /** Runs one attempt of a request on a target owned by the called VM. */
    public static final PeerMethod<RelayRequest, RelayEvent> RELAY =
            new PeerMethod<>(40, "relay", RelayRequest.parser(), RelayEvent.parser());

    private RelayMethods() {}
}
