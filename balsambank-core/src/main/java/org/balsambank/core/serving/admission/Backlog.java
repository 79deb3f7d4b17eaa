package org.balsambank.core.serving.admission;

import org.balsambank.core.id.ServiceName;

/** How long requests wait at the targets of a service. Confined to the decision loop. */
public interface Backlog {
    /**
     * Returns the wait at a typical target.
     *
     * @param service the service
     * @return the estimated time in milliseconds until the median target begins a new response, 0 without targets
     */
    double medianWaitMillis(ServiceName service);
}
