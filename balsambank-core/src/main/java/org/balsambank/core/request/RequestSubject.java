package org.balsambank.core.request;

import org.balsambank.core.id.ServiceName;

/** The adapter or plain service that a request addresses. Implementations are immutable and thread-safe. */
public sealed interface RequestSubject {
    /**
     * A completion on an adapter.
     *
     * @param model the model name in the request, {@code adapter} or {@code adapter@version}
     */
    record AdapterCall(String model) implements RequestSubject {}

    /**
     * A call of a plain service.
     *
     * @param service the name of the plain service
     * @param path the path relative to the service, without the query
     */
    record ServiceCall(ServiceName service, String path) implements RequestSubject {}
}
