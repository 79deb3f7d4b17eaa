package org.balsambank.core.document;

import com.fasterxml.jackson.core.JsonLocation;

/**
 * A place in a file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 */
public record Position(int line, int column) implements Comparable<Position> {
    /**
     * Takes over the place of a token.
     *
     * @param location the place as the JSON parser gives it
     * @return the place
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
