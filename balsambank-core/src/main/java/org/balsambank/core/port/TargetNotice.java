package org.balsambank.core.port;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a target says of itself in the head of a response, whatever the request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaving whether it states that it leaves
 * @param retryAfter the time for which it wants no requests, in seconds as it has written them
 * @param requestsPerSecond the limits on the requests of all VMs together, as it has written them; normally one or none
 */
public record TargetNotice(boolean leaving, Optional<String> retryAfter, List<String> requestsPerSecond) {
    /** The target says nothing of itself. */
    public static final TargetNotice NONE = new TargetNotice(false, Optional.empty(), List.of());

    /** Copies the list. */
    public TargetNotice {
        Objects.requireNonNull(retryAfter);
        requestsPerSecond = List.copyOf(requestsPerSecond);
    }
}
