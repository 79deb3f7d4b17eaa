package org.balsambank.core.serving.choice;

/**
 * How a target was chosen.
 *
 * <p>Immutable and thread-safe.
 */
public enum ChoiceKind {
    /** By the least expected cost of all targets; for targets that report no pace. */
    LEAST_COST("least_cost"),
    /** By expected cost and reported load among a few random candidates. */
    SAMPLED("sampled"),
    /** By the VM that keeps the places of the service. */
    GRANTED("granted");

    private final String label;

    ChoiceKind(final String label) {
        this.label = label;
    }

    /**
     * Returns the name of the kind in logs and metrics.
     *
     * @return the name
     */
    public String label() {
        return label;
    }
}
