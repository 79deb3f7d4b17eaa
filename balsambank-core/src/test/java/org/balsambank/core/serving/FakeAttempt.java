package org.balsambank.core.serving;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.ResponseHead;
import org.balsambank.core.serving.request.TargetSender;

/**
 * A send that a test answers.
 *
 * <p>Confined to one thread.
 */
final class FakeAttempt implements TargetSender.AttemptHandle {
    final VmId from;
    final OutgoingAttempt outgoing;
    boolean cancelled;
    private final AttemptListener listener;

    FakeAttempt(final VmId from, final OutgoingAttempt outgoing, final AttemptListener listener) {
        this.from = from;
        this.outgoing = outgoing;
        this.listener = listener;
    }

    TargetId target() {
        return outgoing.target().id();
    }

    /** Answers whole; returns whether the answer went to the caller. */
    boolean answer(final int status, final boolean notRun) {
        if (cancelled) {
            return false;
        }
        final boolean passed = listener.head(new ResponseHead(status, notRun, !notRun, false));
        listener.chunk();
        listener.ended(AttemptEnd.COMPLETE);
        return passed;
    }

    /** Answers with a success that no target has sealed; returns whether it went to the caller. */
    boolean answerWithoutSeal() {
        final boolean passed = listener.head(new ResponseHead(200, false, false, false));
        listener.chunk();
        listener.ended(AttemptEnd.COMPLETE);
        return passed;
    }

    /** Begins a good answer. */
    void begin() {
        listener.head(new ResponseHead(200, false, true, false));
        listener.chunk();
    }

    void end(final AttemptEnd how) {
        listener.ended(how);
    }

    @Override
    public void cancel() {
        cancelled = true;
    }
}
