package org.balsambank.core.catalogue;

/**
 * Properties of the calls of a plain service that match a method and a path prefix. The longest matching prefix wins.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param pathPrefix the path prefix, relative to the service
 * @param idempotent true if the calls may be retried
 * @param open true if the calls need no key; such calls are charged to the owner
 */
public record ServiceRoute(String method, String pathPrefix, boolean idempotent, boolean open) {}
