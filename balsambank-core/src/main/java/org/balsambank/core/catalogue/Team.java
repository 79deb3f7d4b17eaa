package org.balsambank.core.catalogue;

import java.util.List;

import org.balsambank.core.id.TeamId;

/**
 * A team in the catalogue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id
 * @param limit the purchased rate and burst
 * @param weight its relative share of a target under contention, above zero
 * @param keys the valid keys
 */
public record Team(TeamId id, RateLimit limit, double weight, List<KeyHash> keys) {
    /** Copies the keys. */
    public Team {
        keys = List.copyOf(keys);
    }
}
