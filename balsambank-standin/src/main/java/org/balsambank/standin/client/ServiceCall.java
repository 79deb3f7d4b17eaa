package org.balsambank.standin.client;

/**
 * A call to a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the caller's API key
 * @param service the service
 * @param path the path relative to the service
 * @param body the request body
 * @param idempotencyKey the idempotency key, empty for none
 * @param callId the id by which the stand-in counts the call
 */
public record ServiceCall(String key, String service, String path, String body, String idempotencyKey, String callId) {}
