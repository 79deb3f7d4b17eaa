package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Chooses the adapter to evict: the least recently used one that no request is using.
 *
 * <p>Stateless and thread-safe.
 */
final class EvictionPolicy {
    private EvictionPolicy() {}

    /**
     * Chooses the adapter to evict.
     *
     * @param loaded the loaded adapters; their versions are ignored
     * @param inUse whether a request uses an adapter
     * @param lastUse the time of the last use of an adapter, on the monotonic clock
     * @return the adapter to evict, empty if all are in use
     */
    static Optional<AdapterKey> victim(
            final Map<AdapterKey, Long> loaded,
            final Predicate<AdapterKey> inUse,
            final ToLongFunction<AdapterKey> lastUse) {
        AdapterKey oldest = null;
        for (final AdapterKey each : loaded.keySet()) {
            if (inUse.test(each)) {
                continue;
            }
            if (oldest == null || lastUse.applyAsLong(each) - lastUse.applyAsLong(oldest) < 0) {
                oldest = each;
            }
        }
        return Optional.ofNullable(oldest);
    }
}
