package org.balsambank.standin.load;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.TrafficClass;

/**
 * A team of a deployment: its rate limit, adapters and load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the team
 * @param limit its rate and burst
 * @param weight its weight when teams compete for a target
 * @param trafficClass the traffic class of its requests
 * @param adapters the number of adapters that it owns
 * @param demand the offered load as a multiple of its rate
 * @param promptChars the length of its prompts in characters
 * @param answerTokens the length of its responses in tokens
 */
public record TeamProfile(
        String id,
        RateLimit limit,
        double weight,
        TrafficClass trafficClass,
        int adapters,
        double demand,
        int promptChars,
        int answerTokens) {
    /**
     * Returns the API key of the team's callers.
     *
     * @return the key
     */
    public String key() {
        return id + "-demo-key";
    }

    /**
     * Returns the id of one of its adapters.
     *
     * @param index the rank of the adapter by popularity, from 0
     * @return the adapter id
     */
    public String adapter(final int index) {
        return id + "-" + index;
    }
}
