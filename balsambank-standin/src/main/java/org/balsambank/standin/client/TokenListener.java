package org.balsambank.standin.client;

/** Receives the tokens of a stream. Called on an event loop. */
@FunctionalInterface
public interface TokenListener {
    /** Ignores all tokens. */
    TokenListener NONE = (receivedNanos, timing) -> {};

    /**
     * Handles a token.
     *
     * @param receivedNanos the monotonic time at which it was received, in nanoseconds
     * @param timing the timestamps that the engine sent with the token
     */
    void token(long receivedNanos, EngineTiming timing);
}
