package org.balsambank.cli;

import java.util.Objects;

/**
 * Thrown when a command fails.
 *
 * <p>Immutable and thread-safe.
 */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code of the process
     * @param message the message for the operator
     */
    public CommandException(final ExitCode exitCode, final String message) {
        super(message);
        this.exitCode = Objects.requireNonNull(exitCode);
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
