package org.balsambank.core.catalogue;

/**
 * The traffic classes, in descending order of urgency.
 *
 * <p>Immutable and thread-safe.
 */
public enum TrafficClass {
    /** Requests with a deadline, such as a thesis binding or a delivery slot of a truck. */
    URGENT(4),
    /** Ordinary requests. */
    NORMAL(2),
    /** Requests that can be delayed. */
    BULK(1);

    private final int weight;

    TrafficClass(final int weight) {
        this.weight = weight;
    }

    /**
     * Returns the relative share of the class when all classes have requests.
     *
     * @return the weight, above zero
     */
    public int weight() {
        return weight;
    }
}
