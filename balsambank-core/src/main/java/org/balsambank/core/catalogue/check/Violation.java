package org.balsambank.core.catalogue.check;

import org.balsambank.core.document.Position;

/**
 * A mistake in a catalogue file.
 *
 * <p>Immutable and thread-safe. The message holds no key.
 *
 * @param file the name of the file
 * @param position where the mistake is
 * @param rule the name of the rule, without {@code Check}
 * @param message what is wrong
 */
public record Violation(String file, Position position, String rule, String message) {
    @Override
    public String toString() {
        return file + ":" + position.line() + ":" + position.column() + ": " + message + " [" + rule + "]";
    }
}
