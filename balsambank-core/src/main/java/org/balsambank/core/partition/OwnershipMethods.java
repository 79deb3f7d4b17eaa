package org.balsambank.core.partition;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.ownership.ConfirmAnswer;
import org.balsambank.protocol.generated.ownership.ConfirmRequest;
import org.balsambank.protocol.generated.ownership.HandOverAnswer;
import org.balsambank.protocol.generated.ownership.HandOverRequest;

/** The peer methods of partition ownership. Stateless and thread-safe. */
final class OwnershipMethods {
    /** Requests a voter to confirm a version of the assignment or to promise to keep it in force. */
    static final PeerMethod<ConfirmRequest, ConfirmAnswer> CONFIRM =
            new PeerMethod<>(10, "ownership-confirm", ConfirmRequest.parser(), ConfirmAnswer.parser());

    /** Sends the state of a partition to its next owner. */
    static final PeerMethod<HandOverRequest, HandOverAnswer> HAND_OVER =
            new PeerMethod<>(11, "ownership-hand-over", HandOverRequest.parser(), HandOverAnswer.parser());

    private OwnershipMethods() {}
}
