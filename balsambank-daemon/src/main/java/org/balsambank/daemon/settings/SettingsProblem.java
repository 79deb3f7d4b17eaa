package org.balsambank.daemon.settings;

import org.balsambank.core.document.Position;

/**
 * A problem in a settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param position the position in the file
 * @param message the description of the problem
 */
public record SettingsProblem(Position position, String message) implements Comparable<SettingsProblem> {
    @Override
    public int compareTo(final SettingsProblem other) {
        return position.compareTo(other.position);
    }
}
