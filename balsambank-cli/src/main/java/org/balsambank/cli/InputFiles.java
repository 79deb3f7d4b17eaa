package org.balsambank.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Reads input files named on the command line.
 *
 * <p>Stateless and thread-safe.
 */
final class InputFiles {
    private InputFiles() {}

    /**
     * Reads a whole file as UTF-8.
     *
     * @param name the path of the file
     * @return the content of the file
     * @throws CommandException if the file cannot be read
     */
    static String read(final String name) throws CommandException {
        try {
            return java.nio.file.Files.readString(Path.of(name), StandardCharsets.UTF_8);
        } catch (final IOException e) {
            throw new CommandException(ExitCode.INVALID, "cannot read " + name + ": " + e.getMessage());
        }
    }
}
