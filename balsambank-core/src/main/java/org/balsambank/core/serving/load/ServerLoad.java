package org.balsambank.core.serving.load;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * The load that a target reports of itself in the head of a response.
 *
 * <p>Invariant: all figures are within their bounds. Immutable and thread-safe.
 *
 * @param running the requests that run at the target
 * @param waiting the requests that wait there for a slot
 * @param slots the requests that it runs concurrently, at least 1
 * @param pace how long work takes there now, in percent of the usual time; empty if the target does not report it
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt pace) {
    /** The pace of a target at which work takes its usual time. */
    public static final int USUAL_PACE = 100;

    /** The highest count; higher ones are reduced to it, so that sums of reports do not overflow. */
    static final int MAX_COUNT = 10_000;
    /** The lowest pace; lower ones are raised to it, so that a false figure does not attract all requests. */
    static final int MIN_PACE = 50;
    /** The highest pace; higher ones are reduced to it, so that a false figure does not exclude a target for ever. */
    static final int MAX_PACE = 1_000;

    private static final int FIGURES_WITHOUT_PACE = 3;
    private static final int FIGURES_WITH_PACE = 4;
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");

    /** Clamps the figures to their bounds. */
    public ServerLoad {
        running = clamp(running, 0, MAX_COUNT);
        waiting = clamp(waiting, 0, MAX_COUNT);
        slots = clamp(slots, 1, MAX_COUNT);
        if (pace.isPresent()) {
            pace = OptionalInt.of(clamp(pace.getAsInt(), MIN_PACE, MAX_PACE));
        }
    }

    /**
     * Parses the values of the header. It counts as absent if it occurs more than once, if a figure is missing,
     * negative, a fraction, longer than nine digits or not a number, if there are more than four figures, or if the
     * slots or the pace are 0.
     *
     * @param values the values of all headers with the name
     * @return the load, or empty
     */
    public static Optional<ServerLoad> parse(final List<String> values) {
        if (values.size() != 1) {
            return Optional.empty();
        }
        final String[] parts = values.get(0).split(",", FIGURES_WITH_PACE + 1);
        if (parts.length != FIGURES_WITHOUT_PACE && parts.length != FIGURES_WITH_PACE) {
            return Optional.empty();
        }
        final int[] figures = new int[parts.length];
        for (int i = 0; i < parts.length; i++) {
            final String part = parts[i].trim();
            if (!WHOLE_NUMBER.matcher(part).matches()) {
                return Optional.empty();
            }
            figures[i] = Integer.parseInt(part);
        }
        final boolean hasPace = parts.length == FIGURES_WITH_PACE;
        if (figures[2] == 0 || hasPace && figures[FIGURES_WITHOUT_PACE] == 0) {
            return Optional.empty();
        }
        return Optional.of(new ServerLoad(
                figures[0],
                figures[1],
                figures[2],
                hasPace ? OptionalInt.of(figures[FIGURES_WITHOUT_PACE]) : OptionalInt.empty()));
    }

    /**
     * Returns whether the target has no free slot.
     *
     * @return true if requests wait or all slots are in use
     */
    public boolean full() {
        return waiting > 0 || running >= slots;
    }

    private static int clamp(final int value, final int min, final int max) {
        return Math.max(min, Math.min(max, value));
    }
}
