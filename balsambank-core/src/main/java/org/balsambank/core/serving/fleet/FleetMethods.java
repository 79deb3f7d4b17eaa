package org.balsambank.core.serving.fleet;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.EntriesAnswer;
import org.balsambank.protocol.generated.serving.EntriesAsk;
import org.balsambank.protocol.generated.serving.HoldAnswer;
import org.balsambank.protocol.generated.serving.HoldAsk;

/**
 * The calls between VMs that serve.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetMethods {
    /** Tells and asks what is under way, has been admitted and is loaded. */
    public static final PeerMethod<Digest, Digest> DIGEST =
            new PeerMethod<>(70, "serving-digest", Digest.parser(), Digest.parser());
    /** Asks for an adapter at a target. */
    public static final PeerMethod<HoldAsk, HoldAnswer> HOLD =
            new PeerMethod<>(71, "serving-hold", HoldAsk.parser(), HoldAnswer.parser());
    /** Asks for entries of the key-value service. */
    public static final PeerMethod<EntriesAsk, EntriesAnswer> ENTRIES =
            new PeerMethod<>(72, "serving-entries", EntriesAsk.parser(), EntriesAnswer.parser());

    private FleetMethods() {}
}
