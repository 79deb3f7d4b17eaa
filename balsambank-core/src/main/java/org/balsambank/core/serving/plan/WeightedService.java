package org.balsambank.core.serving.plan;

import org.balsambank.core.id.ServiceName;

/**
 * A service that receives a share of a route's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its share relative to the other weights of the route; not negative
 */
public record WeightedService(ServiceName service, double weight) {}
