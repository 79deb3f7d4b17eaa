package org.balsambank.core.target;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;

/**
 * The requests a second that a target takes from all VMs together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param perSecond requests a second, not negative; infinite if the target names no limit
 */
public record TargetLimit(double perSecond) {
    /** The target names no limit. */
    public static final TargetLimit NONE = new TargetLimit(Double.POSITIVE_INFINITY);

    private static final double BURST_SECONDS = 0.25;
    /** A target that takes no requests at all gets one now and then, as only a response ends a limit. */
    private static final double MIN_PER_SECOND = 0.05;

    private static final Pattern DECIMAL = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

    /** Checks the range. */
    public TargetLimit {
        if (!(perSecond >= 0)) {
            throw new IllegalArgumentException("requests a second: " + perSecond);
        }
    }

    /**
     * Parses the limits that one response names. The lowest counts, as they contradict each other.
     *
     * @param values the values, each a decimal number or several of them with commas between
     * @return the lowest of those that can be read, {@link #NONE} if there are no values; empty if none can be read
     */
    public static Optional<TargetLimit> parse(final List<String> values) {
        if (values.isEmpty()) {
            return Optional.of(NONE);
        }
        return parts(values)
                .filter(TargetLimit::readable)
                .map(part -> new TargetLimit(Double.parseDouble(part)))
                .min((one, other) -> Double.compare(one.perSecond, other.perSecond));
    }

    /**
     * Returns whether all limits that one response names can be read.
     *
     * @param values the values
     * @return false if one of them is not a decimal number
     */
    public static boolean allReadable(final List<String> values) {
        return parts(values).allMatch(TargetLimit::readable);
    }

    private static Stream<String> parts(final List<String> values) {
        return values.stream()
                .flatMap(value -> List.of(value.split(",", -1)).stream())
                .map(String::trim);
    }

    private static boolean readable(final String text) {
        return DECIMAL.matcher(text).matches();
    }

    /**
     * Returns whether the target names a limit.
     *
     * @return false for {@link #NONE}
     */
    public boolean limited() {
        return perSecond < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns whether this limit allows fewer requests than another one.
     *
     * @param other the other limit
     * @return true if it is lower
     */
    public boolean stricterThan(final TargetLimit other) {
        return perSecond < other.perSecond;
    }

    /**
     * Returns the rate at which requests are sent to a target with a limit.
     *
     * @return the rate and a small burst, in requests
     */
    public RateLimit rate() {
        final double rate = Math.max(MIN_PER_SECOND, perSecond);
        return new RateLimit(RateUnit.REQUESTS, rate, 1 + rate * BURST_SECONDS);
    }
}
