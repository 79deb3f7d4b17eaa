package org.balsambank.core.serving;

import java.util.List;
import java.util.Optional;

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
    private boolean responded;
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
        return respond(head(status, notExecuted, false, Optional.empty()));
    }

    /** Sends a complete response of a target that leaves. */
    boolean respondLeaving(final int status, final boolean notExecuted) {
        return respond(head(status, notExecuted, true, Optional.empty()));
    }

    /** Rejects the request and asks for no more for some seconds. */
    void rejectWithPause(final String seconds) {
        respond(head(503, true, false, Optional.of(seconds)));
    }

    private static ResponseHead head(
            final int status, final boolean notExecuted, final boolean leaving, final Optional<String> retryAfter) {
        return new ResponseHead(status, notExecuted, !notExecuted, false, leaving, retryAfter);
    }

    private boolean respond(final ResponseHead head) {
        if (cancelled || responded) {
            return false;
        }
        responded = true;
        listener.headArrived(head);
        final boolean forwarded = listener.head(head);
        listener.chunk();
        listener.ended(AttemptEnd.COMPLETE);
        return forwarded;
    }

    /** Sends a success response without a seal; returns whether it was forwarded to the caller. */
    boolean respondWithoutSeal() {
        return respond(new ResponseHead(200, false, false, false, false, Optional.empty()));
    }

    /** Sends the head and first chunk of a success response. */
    void startResponse() {
        sendHead();
        sendChunk();
    }

    /** Sends the head of a success response. */
    void sendHead() {
        sendHead(false);
    }

    /** Sends the head of a success response of a target that may leave. */
    void sendHead(final boolean leaving) {
        final ResponseHead head = head(200, false, leaving, Optional.empty());
        listener.headArrived(head);
        listener.head(head);
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
