package org.balsambank.core.serving.fleet;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.EntriesAnswer;
import org.balsambank.protocol.generated.serving.EntriesAsk;
import org.balsambank.protocol.generated.serving.HoldAnswer;
import org.balsambank.protocol.generated.serving.HoldAsk;
import org.balsambank.protocol.generated.serving.PermitAnswer;
import org.balsambank.protocol.generated.serving.PermitAsk;
import org.balsambank.protocol.generated.serving.PlaceAnswer;
import org.balsambank.protocol.generated.serving.PlaceAsk;

/**
 * The methods with which VMs call each other while they serve requests.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetMethods {
    /** Exchanges digests of the requests in flight, admitted units and resident adapters. */
    public static final PeerMethod<Digest, Digest> DIGEST =
            new PeerMethod<>(70, "serving-digest", Digest.parser(), Digest.parser());
    /** Requests that an adapter be resident at a target that the called VM controls. */
    public static final PeerMethod<HoldAsk, HoldAnswer> ENSURE_ADAPTER =
            new PeerMethod<>(71, "serving-hold", HoldAsk.parser(), HoldAnswer.parser());
    /** Fetches entries of the key-value service. */
    public static final PeerMethod<EntriesAsk, EntriesAnswer> ENTRIES =
            new PeerMethod<>(72, "serving-entries", EntriesAsk.parser(), EntriesAnswer.parser());
    /** Requests a permit for a request to a target that limits its requests. */
    public static final PeerMethod<PermitAsk, PermitAnswer> PERMIT =
            new PeerMethod<>(73, "serving-permit", PermitAsk.parser(), PermitAnswer.parser());

    /** Requests a place at a target of a service, and tells how requests with places go on. */
    public static final PeerMethod<PlaceAsk, PlaceAnswer> PLACE =
            new PeerMethod<>(74, "serving-place", PlaceAsk.parser(), PlaceAnswer.parser());

    private FleetMethods() {}
}
