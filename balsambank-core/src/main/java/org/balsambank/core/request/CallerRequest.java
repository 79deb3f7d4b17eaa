package org.balsambank.core.request;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.RequestId;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * A request as it came from a caller, read whole.
 *
 * <p>Immutable and thread-safe. The headers hold none that can carry a key; {@link #toString()} shows no key.
 *
 * @param id the request
 * @param key the caller's key, if one came with the request
 * @param subject what the caller asks for
 * @param httpMethod the HTTP method
 * @param path the path and query at the target
 * @param headers the headers for the target
 * @param body the body for the target
 * @param streaming true if the caller wants the answer in parts
 * @param tokens the tokens that the request may use at the most, of prompt and answer
 * @param prefixHash hash of the start of the prompt
 * @param idempotencyKey the key that names the call, if the caller gave one
 * @param deadlineNanos the monotonic time until which the caller waits
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
    /** Takes a copy of the headers. */
    public CallerRequest {
        headers = List.copyOf(headers);
    }

    @Override
    public String toString() {
        return "CallerRequest[id=" + id + ", subject=" + subject + "]";
    }
}
