package org.balsambank.cli;

/** The exit codes of the command-line client. Immutable and thread-safe. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The server is unreachable or returned an error, or the command found no result. */
    FAILED(1),
    /** The command line or a file is invalid; nothing was changed. */
    INVALID(2),
    /** The catalogue was changed concurrently; nothing was changed by this command. */
    CONFLICT(3),
    /** The change was accepted, but was not confirmed to be in force on all VMs in time. */
    NOT_IN_FORCE(4);

    private final int code;

    ExitCode(final int code) {
        this.code = code;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the code
     */
    public int code() {
        return code;
    }
}
