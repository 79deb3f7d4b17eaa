package org.balsambank.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;

/**
 * Prints the help text of a command.
 *
 * <p>Confined to one thread.
 */
@Command(name = "help", description = "Prints the help text of a command.")
public final class HelpCommand extends AbstractCommand {
    @AirlineModule
    private GlobalMetadata<AbstractCommand> global;

    @Arguments(title = "COMMAND", description = "The command.")
    private List<String> command = new ArrayList<>();

    @Override
    protected ExitCode execute() throws CommandException {
        try {
            Help.help(global, command, out());
            return isUnknownCommand() ? ExitCode.INVALID : ExitCode.OK;
        } catch (final IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot print the help text: " + e.getMessage());
        }
    }

    private boolean isUnknownCommand() {
        if (command.isEmpty()) {
            return false;
        }
        final String name = command.get(0);
        return global.getDefaultGroupCommands().stream()
                        .noneMatch(known -> known.getName().equals(name))
                && global.getCommandGroups().stream()
                        .noneMatch(group -> group.getName().equals(name));
    }
}
