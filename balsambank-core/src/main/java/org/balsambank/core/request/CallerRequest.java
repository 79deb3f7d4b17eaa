package org.balsambank.core.request;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.RequestId;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * A request as received from a caller, with its complete body.
 *
 * <p>Immutable and thread-safe. The headers exclude all that can carry a key; {@link #toString()} does not print the
 * key.
 *
 * @param id the request id
 * @param key the caller's API key, if the request has one
 * @param subject the adapter or plain service that the request addresses
 * @param httpMethod the HTTP method
 * @param path the path and query to send to the target
 * @param headers the headers to send to the target
 * @param body the body to send to the target
 * @param streaming true if the caller requested a streamed response
 * @param tokens the maximum number of prompt and completion tokens that the request can use
 * @param prefixHash the hash of the prompt prefix
 * @param idempotencyKey the idempotency key, if the request has one
 * @param deadlineNanos the monotonic time of the caller's deadline
 * @param traceParent the W3C trace context of the entry span
 */
public record CallerRequest(
        RequestId id,
        Optional<String> key,
        RequestSubject subject,
        String httpMethod,
        String path,
        List<RelayHeader> headers,
        ByteString body,
        boolean streaming,
        int tokens,
        long prefixHash,
        Optional<IdempotencyKey> idempotencyKey,
        long deadlineNanos,
        String traceParent) {
    /** Copies the headers. */
    public CallerRequest {
        headers = List.copyOf(headers);
    }

    @Override
    public String toString() {
        return "CallerRequest[id=" + id + ", subject=" + subject + "]";
    }
}
