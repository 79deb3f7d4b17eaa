package org.balsambank.core.serving.request;

/** Hears of one send to a target. Confined to the decision loop. */
public interface AttemptListener {
    /**
     * The head of the answer is here; with a body that is to be whole first, the whole answer.
     *
     * @param head the head
     * @return true if the answer goes to the caller, false if it is read and dropped
     */
    boolean head(ResponseHead head);

    /** A piece of the body is here. */
    void chunk();

    /**
     * The send has ended. Called once, unless it was cancelled.
     *
     * @param end how
     */
    void ended(AttemptEnd end);
}
