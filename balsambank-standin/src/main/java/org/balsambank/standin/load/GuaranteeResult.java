package org.balsambank.standin.load;

import io.vertx.core.json.JsonObject;

/**
 * A guarantee of the system with the verdict of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param text the guarantee
 * @param verdict whether the run saw a violation
 * @param figure the number of violations, or why none were counted
 */
public record GuaranteeResult(String text, Verdict verdict, String figure) {
    /** Verdict of a run on a guarantee. */
    public enum Verdict {
        /** The run saw no violation. */
        PASS,
        /** The run saw at least one violation. */
        FAIL,
        /** The run did nothing that could violate the guarantee. */
        NONE
    }

    /**
     * Returns the line of the report table.
     *
     * @return verdict, guarantee and figure
     */
    public String tableLine() {
        return verdict + "  " + text + " (" + figure + ")";
    }

    /**
     * Returns the result as JSON.
     *
     * @return the JSON object
     */
    JsonObject toJson() {
        return new JsonObject()
                .put("promise", text)
                .put("verdict", verdict.name())
                .put("figure", figure);
    }
}
