package org.balsambank.core.serving.request;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.placement.AdapterKey;

/**
 * The attributes of a caller's request that decisions use. The API key never appears in logs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id that the caller assigned to this attempt of the request
 * @param host the requested host
 * @param path the path without a query
 * @param key the caller's API key, if present
 * @param model the base model, if it names one
 * @param adapter the adapter, if it names one
 * @param promptTokens the tokens of the prompt, 0 if not declared
 * @param outputTokens the maximum tokens of the response, 0 if not declared
 * @param tokensDeclared whether the caller declared the token counts
 * @param deadlineMillis the time limit of the caller, counted from arrival, 0 if not declared
 * @param arrivedNanos when the request head arrived, on the monotonic clock
 * @param fingerprint equal for requests with the same effect
 * @param sharedParts the parts of the prompt that other requests may share: all but the last
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
        Fingerprint fingerprint,
        List<PromptPartId> sharedParts) {
    /** Copies the parts. */
    public RequestAttributes {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Omits the API key. */
    @Override
    public String toString() {
        return "request " + id;
    }
}
