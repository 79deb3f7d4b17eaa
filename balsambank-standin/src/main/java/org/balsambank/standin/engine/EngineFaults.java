package org.balsambank.standin.engine;

import io.vertx.core.json.JsonObject;

/**
 * The faults that control calls inject into an engine.
 *
 * <p>Confined to the event loop of its engine.
 */
final class EngineFaults {
    private static final String MISSING_WEIGHTS_MARKER = "missing";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private String crashTrigger = "";
    private long loadFailuresLeft;
    private boolean silent;
    private long frozenUntilNanos = Long.MIN_VALUE;

    /**
     * Changes the faults that a control order names and leaves the others unchanged.
     *
     * @param order may hold {@code crashOnPrompt}, {@code failLoads}, {@code silent} and {@code freezeMillis}
     * @param now the time of the timer service, in nanoseconds
     */
    void apply(final JsonObject order, final long now) {
        crashTrigger = order.getString("crashOnPrompt", crashTrigger);
        loadFailuresLeft = order.getLong("failLoads", loadFailuresLeft);
        silent = order.getBoolean("silent", silent);
        if (order.containsKey("freezeMillis")) {
            frozenUntilNanos = now + order.getLong("freezeMillis") * NANOS_PER_MILLI;
        }
    }

    /**
     * Returns whether a prompt crashes the engine.
     *
     * @param prompt the prompt
     * @return true if it contains the configured text
     */
    boolean crashesOn(final String prompt) {
        return !crashTrigger.isEmpty() && prompt.contains(crashTrigger);
    }

    /**
     * Consumes one of the remaining injected load failures.
     *
     * @return true if the load must fail
     */
    boolean consumeLoadFailure() {
        if (loadFailuresLeft <= 0) {
            return false;
        }
        loadFailuresLeft--;
        return true;
    }

    /**
     * Returns whether an adapter has no weights, which is so if its name contains {@code missing}.
     *
     * @param adapter the adapter and version
     * @return true if it cannot be loaded
     */
    boolean hasNoWeights(final String adapter) {
        return adapter.contains(MISSING_WEIGHTS_MARKER);
    }

    /**
     * Returns whether the engine currently writes no tokens.
     *
     * @param now the time of the timer service, in nanoseconds
     * @return true while it is silent or frozen
     */
    boolean isStalled(final long now) {
        return silent || frozenUntilNanos != Long.MIN_VALUE && frozenUntilNanos - now > 0;
    }
}
