package org.balsambank.core.log;

/**
 * Records decisions that affect a request or change the state that this VM assumes for a target, one line per decision.
 *
 * <p>Thread-safe. Never blocks; lines that exceed the buffer limit are dropped and counted.
 */
public interface DecisionLog {
    /** A log that discards all lines. */
    DecisionLog NONE = event -> Line.NONE;

    /**
     * Starts a line.
     *
     * @param event the event name, in lower case with underscores
     * @return the line; add its fields and call {@link Line#write()}
     */
    Line line(String event);

    /** A line of the log. Confined to one thread; has no effect until {@link #write()} is called. */
    interface Line {
        /** A line that is discarded. */
        Line NONE = new Line() {
            @Override
            public Line with(final String field, final String value) {
                return this;
            }

            @Override
            public Line with(final String field, final long value) {
                return this;
            }

            @Override
            public void write() {}
        };

        /**
         * Adds a text field.
         *
         * @param field the field name
         * @param value the field value
         * @return this line
         */
        Line with(String field, String value);

        /**
         * Adds a numeric field.
         *
         * @param field the field name, with the unit as a suffix
         * @param value the field value
         * @return this line
         */
        Line with(String field, long value);

        /** Writes the line to the log. */
        void write();
    }
}
