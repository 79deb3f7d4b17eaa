package org.balsambank.standin.load;

import java.util.Locale;

/**
 * An action at a planned time of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param atSeconds the planned time, relative to the end of the warm-up
 * @param verb the kind of action
 * @param argument the object of the action
 */
public record ScheduledAction(double atSeconds, Verb verb, String argument) {
    private static final int PARTS = 3;

    /** The kind of an action. */
    public enum Verb {
        /** Takes a failure domain out. */
        DOMAIN_OUT,
        /** Takes a failure domain back in. */
        DOMAIN_IN,
        /** Takes a VM out. */
        VM_OUT,
        /** Takes a VM back in. */
        VM_IN,
        /** Withdraws the first key of a team. */
        KEY_WITHDRAW,
        /** Issues a new key to a team. */
        KEY_GIVE,
        /** Restarts the engine with a number, from 1, without loaded adapters. */
        ENGINE_RESTART,
        /** Makes the engine with a number, from 1, as slow as right after a start. */
        ENGINE_COLD,
        /** Lets the engine with a number, from 1, say that it leaves. */
        ENGINE_LEAVING,
        /** Lets an engine name a limit: its number, from 1, an equals sign and the requests a second, or nothing. */
        ENGINE_LIMIT,
        /** Lets an engine reject all requests: its number, from 1, an equals sign and the seconds. */
        ENGINE_PAUSE,
        /** Starts an outage of the key-value service. */
        KV_OUT,
        /** Ends the outage of the key-value service. */
        KV_IN,
        /** Marks the time of an event outside the load tool in the report and plot. */
        MARK
    }

    /**
     * Parses {@code seconds:verb:argument}, such as {@code 20:domain-out:Laureles}.
     *
     * @param text the action in text form
     * @return the action
     * @throws IllegalArgumentException if the text has another form or an unknown verb
     */
    public static ScheduledAction parse(final String text) {
        final String[] parts = text.split(":", PARTS);
        if (parts.length != PARTS) {
            throw new IllegalArgumentException("action must have the form seconds:verb:argument: " + text);
        }
        final Verb verb = Verb.valueOf(parts[1].toUpperCase(Locale.ROOT).replace('-', '_'));
        return new ScheduledAction(Double.parseDouble(parts[0]), verb, parts[2]);
    }

    /**
     * Returns the label for tables, plots and JSON.
     *
     * @return the verb and its argument
     */
    String label() {
        return verb.name().toLowerCase(Locale.ROOT).replace('_', '-') + " " + argument;
    }
}
