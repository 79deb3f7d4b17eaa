package org.balsambank.core.serving.request;

import org.balsambank.core.id.ServiceName;

/** Receives the requests that are admitted, before a target is chosen. Confined to the decision loop. */
public interface AdmissionListener {
    /** Ignores all requests. */
    AdmissionListener NONE = (service, promptTokens) -> {};

    /**
     * Called when a request is admitted.
     *
     * @param service its service
     * @param promptTokens the tokens of its prompt
     */
    void admitted(ServiceName service, long promptTokens);
}
