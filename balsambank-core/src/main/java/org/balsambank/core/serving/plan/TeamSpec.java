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
 * @param keys the API keys of its callers
 * @param priority the priority, which overrides that of a route
 * @param limit its rate limit, if it has one
 * @param defaultUnits the units charged for a request without declared token counts
 */
public record TeamSpec(
        TeamId id, List<String> keys, Optional<Integer> priority, Optional<RateLimit> limit, double defaultUnits) {
    /** Copies the keys. */
    public TeamSpec {
        keys = List.copyOf(keys);
    }

    /** Omits the API keys. */
    @Override
    public String toString() {
        return "team " + id;
    }
}
