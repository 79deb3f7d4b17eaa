package org.balsambank.standin.load;

import io.vertx.core.json.JsonObject;

/**
 * A guarantee of the system with the verdict of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param text the guarantee
 * @param verdict whether the run saw a violation
 * @param detail the number of violations, or why they were not counted
 */
public record GuaranteeResult(String text, Verdict verdict, String detail) {
    /** Verdict of a run on a guarantee. */
    public enum Verdict {
        /** The run saw no violation. */
        PASS,
        /** The run saw at least one violation. */
        FAIL,
        /** The guarantee was not tested: the run did nothing that could violate it. */
        NONE
    }

    /**
     * Returns the line of the report table.
     *
     * @return verdict, guarantee and detail
     */
    public String tableLine() {
        return verdict + "  " + text + " (" + detail + ")";
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
                .put("figure", detail);
    }
}
