package org.balsambank.core.serving.request;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.serving.poison.LossFinding;

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
     * Called right before {@link #ended} with a loss, if it can be found out whether the target's process has ended.
     * Without this call a loss counts as the end of the process.
     *
     * @param finding finds it out when subscribed; emits once on the decision loop, and never fails
     */
    default void lossInDoubt(final Single<LossFinding> finding) {}

    /**
     * Called once when the attempt has ended, unless it was cancelled.
     *
     * @param end how it ended
     */
    void ended(AttemptEnd end);
}
