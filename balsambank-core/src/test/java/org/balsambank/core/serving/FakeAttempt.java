package org.balsambank.core.serving;

import java.util.List;

import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.ResponseHead;
import org.balsambank.core.serving.request.TargetSender;

/**
 * An attempt whose response is supplied by a test.
 *
 * <p>Confined to one thread.
 */
final class FakeAttempt implements TargetSender.AttemptHandle {
    final VmId from;
    final OutgoingAttempt outgoing;
    final List<PromptPartId> parts;
    boolean cancelled;
    boolean written = true;
    private final AttemptListener listener;

    FakeAttempt(
            final VmId from,
            final OutgoingAttempt outgoing,
            final List<PromptPartId> parts,
            final AttemptListener listener) {
        this.from = from;
        this.outgoing = outgoing;
        this.parts = parts;
        this.listener = listener;
    }

    TargetId target() {
        return outgoing.target().id();
    }

    /** Sends a complete response; returns whether it was forwarded to the caller. */
    boolean respond(final int status, final boolean notExecuted) {
        if (cancelled) {
            return false;
        }
        final boolean forwarded = listener.head(new ResponseHead(status, notExecuted, !notExecuted, false));
        listener.chunk();
        listener.ended(AttemptEnd.COMPLETE);
        return forwarded;
    }

    /** Sends a success response without a seal; returns whether it was forwarded to the caller. */
    boolean respondWithoutSeal() {
        final boolean forwarded = listener.head(new ResponseHead(200, false, false, false));
        listener.chunk();
        listener.ended(AttemptEnd.COMPLETE);
        return forwarded;
    }

    /** Sends the head and first chunk of a success response. */
    void startResponse() {
        sendHead();
        sendChunk();
    }

    /** Sends the head of a success response. */
    void sendHead() {
        listener.head(new ResponseHead(200, false, true, false));
    }

    void sendChunk() {
        listener.chunk();
    }

    void end(final AttemptEnd attemptEnd) {
        listener.ended(attemptEnd);
    }

    @Override
    public boolean cancel() {
        cancelled = true;
        return written;
    }
}
