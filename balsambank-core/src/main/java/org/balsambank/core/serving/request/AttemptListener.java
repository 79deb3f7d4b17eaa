package org.balsambank.core.serving.request;

/** Receives the events of one attempt at a target. Confined to the decision loop. */
public interface AttemptListener {
    /**
     * Called when the head of the response has arrived, also if the rest of the response is buffered or is lost.
     *
     * @param head the head
     */
    void headArrived(ResponseHead head);

    /**
     * Called after {@link #headArrived} to decide about the response; if it is buffered, when all of it has arrived.
     *
     * @param head the head
     * @return true to forward the response to the caller, false to read and discard it
     */
    boolean head(ResponseHead head);

    /** Called when a chunk of the body has arrived. */
    void chunk();

    /**
     * Called once when the attempt has ended, unless it was cancelled.
     *
     * @param end how it ended
     */
    void ended(AttemptEnd end);
}
