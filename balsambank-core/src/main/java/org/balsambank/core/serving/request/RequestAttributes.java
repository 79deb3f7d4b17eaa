package org.balsambank.core.serving.request;

import java.util.Optional;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.placement.AdapterKey;

/**
 * What a caller has sent, as far as decisions need it. The key stays out of logs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's id of this attempt
 * @param host the host that it names
 * @param path the path without a query
 * @param key the caller's key, if it sent one
 * @param model the base model, if it names one
 * @param adapter the adapter, if it names one
 * @param promptTokens the tokens of its prompt, 0 if not told
 * @param outputTokens the most tokens of its answer, 0 if not told
 * @param tokensDeclared whether it told its tokens
 * @param deadlineMillis how long the caller waits, counted from its arrival, 0 if not told
 * @param arrivedNanos when its head arrived, on the monotonic clock
 * @param fingerprint equal for requests that do the same
 */
public record RequestAttributes(
        RequestId id,
        String host,
        String path,
        Optional<String> key,
        Optional<BaseModel> model,
        Optional<AdapterKey> adapter,
        long promptTokens,
        long outputTokens,
        boolean tokensDeclared,
        long deadlineMillis,
        long arrivedNanos,
        Fingerprint fingerprint) {
    /** Leaves the key out. */
    @Override
    public String toString() {
        return "request " + id;
    }
}
