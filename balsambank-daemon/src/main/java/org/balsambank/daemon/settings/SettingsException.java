package org.balsambank.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports all problems of a settings file.
 *
 * <p>Immutable and thread-safe.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates an exception whose message lists the problems with their positions, one per line.
     *
     * @param file the name of the file
     * @param problems the problems found, at least one, in any order
     */
    public SettingsException(final String file, final List<SettingsProblem> problems) {
        super(problems.stream()
                .sorted()
                .map(problem -> file + ":" + problem.position().line() + ":"
                        + problem.position().column() + ": " + problem.message())
                .collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return the problems in no particular order
     */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
