package org.balsambank.core.serving.plan;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;

/**
 * One team of the plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the team
 * @param keys the keys of its callers
 * @param priority the rank that goes before that of a route
 * @param limit the rate that it bought, if it is bound
 * @param defaultUnits the units of a request that does not tell its tokens
 */
public record TeamSpec(
        TeamId id, List<String> keys, Optional<Integer> priority, Optional<RateLimit> limit, double defaultUnits) {
    /** Takes a copy of the keys. */
    public TeamSpec {
        keys = List.copyOf(keys);
    }

    /** Leaves the keys out. */
    @Override
    public String toString() {
        return "team " + id;
    }
}
