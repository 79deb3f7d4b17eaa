package org.balsambank.cli;

import java.io.PrintStream;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * The command line for operators.
 *
 * <p>Confined to one thread.
 */
@Cli(
        name = "balsambank",
        description = "Drives a fleet of VMs that serve adapters.",
        defaultCommand = HelpCommand.class,
        commands = {
            HelpCommand.class,
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            StatusCommand.class,
            RequestCommand.class,
            StoryCommand.class,
            VersionCommand.class
        },
        groups = {
            @Group(
                    name = "key",
                    description = "Gives and withdraws keys.",
                    commands = {KeyGiveCommand.class, KeyWithdrawCommand.class}),
            @Group(
                    name = "vm",
                    description = "Takes VMs out and in.",
                    commands = {VmOutCommand.class, VmInCommand.class}),
            @Group(
                    name = "domain",
                    description = "Takes failure domains out and in.",
                    commands = {DomainOutCommand.class, DomainInCommand.class}),
            @Group(
                    name = "target",
                    description = "Takes targets out and in.",
                    commands = {TargetOutCommand.class, TargetInCommand.class})
        })
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments the command line
     */
    public static void main(final String[] arguments) {
        System.exit(run(arguments, System.out, System.err).code());
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line
     * @param out where the command prints
     * @param err where errors are printed
     * @return how it ended
     */
    static ExitCode run(final String[] arguments, final PrintStream out, final PrintStream err) {
        try {
            final AbstractCommand command =
                    new com.github.rvesse.airline.Cli<AbstractCommand>(Main.class).parse(arguments);
            return command.run(out);
        } catch (final ParseException e) {
            err.println(e.getMessage());
            return ExitCode.INVALID;
        } catch (final CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }
}
