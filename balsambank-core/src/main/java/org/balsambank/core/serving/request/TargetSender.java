package org.balsambank.core.serving.request;

/** Sends one request to targets. Confined to the decision loop. */
public interface TargetSender {
    /**
     * Sends the request.
     *
     * @param outgoing where and how
     * @param listener hears of it, never before this call returns
     * @return the send, to be cancelled when nobody waits for its answer
     */
    AttemptHandle send(OutgoingAttempt outgoing, AttemptListener listener);

    /** A send under way. Confined to the decision loop. */
    interface AttemptHandle {
        /** Ends it at once; the listener hears no more. */
        void cancel();
    }
}
