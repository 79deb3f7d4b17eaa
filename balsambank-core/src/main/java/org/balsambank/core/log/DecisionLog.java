package org.balsambank.core.log;

/**
 * Takes one line for each decision that touches a request or changes a belief.
 *
 * <p>Thread-safe. Never blocks; lines beyond the bound are dropped and counted.
 */
public interface DecisionLog {
    /** A log that keeps nothing. */
    DecisionLog NONE = event -> Line.NONE;

    /**
     * Begins a line.
     *
     * @param event what happened, in lower case with underscores
     * @return the line, to be filled and written
     */
    Line line(String event);

    /** One line. Confined to one thread; nothing happens before {@link #write()}. */
    interface Line {
        /** A line that goes nowhere. */
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
         * Adds a text.
         *
         * @param field its name
         * @param value the text
         * @return this line
         */
        Line with(String field, String value);

        /**
         * Adds a number.
         *
         * @param field its name, with the unit at its end
         * @param value the number
         * @return this line
         */
        Line with(String field, long value);

        /** Hands the line over. */
        void write();
    }
}
