package org.balsambank.core.catalogue.check;

import org.balsambank.core.document.Position;

/**
 * A violation found in a catalogue file.
 *
 * <p>Immutable and thread-safe. The message never contains an API key.
 *
 * @param file the name of the file
 * @param position the position of the violation
 * @param rule the name of the check, without the suffix {@code Check}
 * @param message the description of the violation
 */
public record Violation(String file, Position position, String rule, String message) {
    @Override
    public String toString() {
        return file + ":" + position.line() + ":" + position.column() + ": " + message + " [" + rule + "]";
    }
}
