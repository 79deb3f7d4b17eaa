package org.balsambank.daemon.settings;

import org.balsambank.core.document.Position;

/**
 * A mistake in a settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param place where it stands
 * @param message what is wrong
 */
public record SettingsProblem(Position place, String message) implements Comparable<SettingsProblem> {
    @Override
    public int compareTo(final SettingsProblem other) {
        return place.compareTo(other.place);
    }
}
