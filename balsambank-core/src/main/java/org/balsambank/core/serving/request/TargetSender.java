package org.balsambank.core.serving.request;

/** Sends attempts of one request to targets. Confined to the decision loop. */
public interface TargetSender {
    /**
     * Starts an attempt.
     *
     * @param outgoing the parameters of the attempt
     * @param listener receives the events of the attempt, never before this call returns
     * @return a handle to cancel the attempt when its response is no longer needed
     */
    AttemptHandle send(OutgoingAttempt outgoing, AttemptListener listener);

    /** An attempt in progress. Confined to the decision loop. */
    interface AttemptHandle {
        /**
         * Ends the attempt immediately and closes its connection; the listener receives no further events.
         *
         * @return whether a byte of the request may have reached the target
         */
        boolean cancel();
    }
}
