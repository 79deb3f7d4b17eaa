package org.balsambank.core.request;

import com.google.common.flogger.FluentLogger;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.TargetException;

/** Maps peer and target failures to error kinds. Stateless and thread-safe. */
final class FailureMapper {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private FailureMapper() {}

    /**
     * Maps a failure to the error for the caller.
     *
     * @param failure the failure
     * @return the error; of kind {@code INTERNAL}, which means that the request may have run, for an unexpected failure
     */
    static BalsambankException of(final Throwable failure) {
        if (failure instanceof BalsambankException known) {
            return known;
        }
        if (failure instanceof PeerException peer) {
            return ofPeer(peer);
        }
        if (failure instanceof TargetException target) {
            return ofTarget(target);
        }
        LOGGER.atSevere().withCause(failure).log("event=request_failed_internally");
        return new BalsambankException(ErrorKind.INTERNAL, "internal error");
    }

    private static BalsambankException ofPeer(final PeerException peer) {
        return peer.reason() == PeerException.Reason.NOT_SENT
                ? new BalsambankException(ErrorKind.NO_OWNER, "the VM that decides for the target cannot be reached")
                : new BalsambankException(ErrorKind.PEER_LOST, "the VM that decides for the target was lost");
    }

    private static BalsambankException ofTarget(final TargetException target) {
        switch (target.reason()) {
            case NOT_SENT:
                return new BalsambankException(ErrorKind.NO_TARGET, "the target cannot be reached");
            case REFUSED:
                return new BalsambankException(ErrorKind.OVERLOADED, "the target refused the request");
            case FENCED:
                return new BalsambankException(ErrorKind.NO_OWNER, "another VM decides for the target");
            case LOST:
            default:
                return new BalsambankException(ErrorKind.TARGET_LOST, "the connection to the target was lost");
        }
    }
}
