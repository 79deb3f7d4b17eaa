package org.balsambank.core.catalogue;

/** The unit of a team's rate limit. Immutable and thread-safe. */
public enum RateUnit {
    /** One unit per request. */
    REQUESTS,
    /** One unit per token of the prompt and of the response. */
    TOKENS
}
