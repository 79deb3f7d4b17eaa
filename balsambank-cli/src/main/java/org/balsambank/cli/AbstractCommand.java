package org.balsambank.cli;

import java.io.PrintStream;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * Base class of all commands.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractCommand {
    @AirlineModule
    private HelpOption<AbstractCommand> help;

    @Option(
            type = OptionType.COMMAND,
            name = {"--json"},
            description = "Prints JSON instead of text.")
    private boolean json;

    private PrintStream out = System.out;

    /**
     * Executes the command.
     *
     * @return the exit code
     * @throws CommandException if the command fails
     */
    protected abstract ExitCode execute() throws CommandException;

    /**
     * Prints the help text if it was requested, otherwise executes the command.
     *
     * @param output the stream that the command prints to
     * @return the exit code
     * @throws CommandException if the command fails
     */
    public final ExitCode run(final PrintStream output) throws CommandException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        out = output;
        return execute();
    }

    /**
     * Prints a line.
     *
     * @param line the line
     */
    protected final void print(final String line) {
        out.println(line);
    }

    /**
     * Returns the stream that the command prints to.
     *
     * @return the stream
     */
    protected final PrintStream out() {
        return out;
    }

    /**
     * Returns whether JSON output was requested.
     *
     * @return true for JSON, false for text
     */
    protected final boolean json() {
        return json;
    }
}
