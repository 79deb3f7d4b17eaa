package org.balsambank.core.idempotency;

import com.google.protobuf.ByteString;

/**
 * The stored response of a call, returned to its retries.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the complete body
 */
public record StoredResponse(int status, String contentType, ByteString body) {}
