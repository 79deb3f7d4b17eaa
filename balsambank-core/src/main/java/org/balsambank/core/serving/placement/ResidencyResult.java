package org.balsambank.core.serving.placement;

/**
 * The result of a request to make an adapter resident at a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param resident whether the adapter is resident
 * @param version the resident version, 0 if unknown
 * @param reason why it is not resident, empty if it is
 */
public record ResidencyResult(boolean resident, long version, String reason) {
    /**
     * Creates a result for a resident adapter.
     *
     * @param version the resident version
     * @return the result
     */
    public static ResidencyResult atVersion(final long version) {
        return new ResidencyResult(true, version, "");
    }

    /**
     * Creates a result for an adapter that is not resident.
     *
     * @param reason why it is not resident
     * @return the result
     */
    public static ResidencyResult unavailable(final String reason) {
        return new ResidencyResult(false, 0, reason);
    }
}
