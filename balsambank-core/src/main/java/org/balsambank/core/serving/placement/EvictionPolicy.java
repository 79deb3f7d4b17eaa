package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Chooses the adapter that makes way for another one: of those that nobody uses, the one used longest ago.
 *
 * <p>Stateless and thread-safe.
 */
final class EvictionPolicy {
    private EvictionPolicy() {}

    /**
     * Chooses.
     *
     * @param held the adapters that are loaded
     * @param inUse tells whether a request uses an adapter
     * @param lastUse when an adapter was used last
     * @return the adapter to unload, if one can go
     */
    static Optional<AdapterKey> victim(
            final Map<AdapterKey, Long> held,
            final Predicate<AdapterKey> inUse,
            final ToLongFunction<AdapterKey> lastUse) {
        AdapterKey oldest = null;
        for (final AdapterKey each : held.keySet()) {
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
