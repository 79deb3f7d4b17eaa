package org.balsambank.core.serving.placement;

/**
 * The answer to a wish for an adapter at a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param held whether the target holds it
 * @param version the version that it holds, 0 if unknown
 * @param reason why it does not hold it, empty if it does
 */
public record ResidencyResult(boolean held, long version, String reason) {
    /**
     * Creates the answer that the adapter is there.
     *
     * @param version the version
     * @return the answer
     */
    public static ResidencyResult of(final long version) {
        return new ResidencyResult(true, version, "");
    }

    /**
     * Creates the answer that the adapter is not there.
     *
     * @param reason why
     * @return the answer
     */
    public static ResidencyResult refused(final String reason) {
        return new ResidencyResult(false, 0, reason);
    }
}
