package org.balsambank.core.document;

import com.fasterxml.jackson.core.JsonLocation;

/**
 * A position in a document.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 */
public record Position(int line, int column) implements Comparable<Position> {
    /**
     * Converts a location reported by the JSON parser.
     *
     * @param location the location of a token
     * @return the position
     */
    static Position of(final JsonLocation location) {
        return new Position(location.getLineNr(), location.getColumnNr());
    }

    @Override
    public int compareTo(final Position other) {
        final int byLine = Integer.compare(line, other.line);
        return byLine != 0 ? byLine : Integer.compare(column, other.column);
    }
}
