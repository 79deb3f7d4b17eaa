package org.balsambank.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Reads the files that operators name.
 *
 * <p>Stateless and thread-safe.
 */
final class InputFiles {
    private InputFiles() {}

    /**
     * Reads a file whole.
     *
     * @param name the name of the file
     * @return its text
     * @throws CommandException if it can't be read
     */
    static String read(final String name) throws CommandException {
        try {
            return java.nio.file.Files.readString(Path.of(name), StandardCharsets.UTF_8);
        } catch (final IOException e) {
            throw new CommandException(ExitCode.INVALID, "can't read " + name + ": " + e.getMessage());
        }
    }
}
