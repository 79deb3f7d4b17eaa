package org.balsambank.cli;

import java.io.PrintStream;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * The entry point of the operators' command-line client.
 *
 * <p>Confined to one thread.
 */
@Cli(
        name = "balsambank",
        description = "Operates a fleet of VMs that serves LoRA adapters.",
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
                    description = "Creates and withdraws keys.",
                    commands = {KeyGiveCommand.class, KeyWithdrawCommand.class}),
            @Group(
                    name = "vm",
                    description = "Takes VMs out of service and puts them back.",
                    commands = {VmOutCommand.class, VmInCommand.class}),
            @Group(
                    name = "domain",
                    description = "Takes failure domains out of service and puts them back.",
                    commands = {DomainOutCommand.class, DomainInCommand.class}),
            @Group(
                    name = "target",
                    description = "Takes targets out of service and puts them back.",
                    commands = {TargetOutCommand.class, TargetInCommand.class})
        })
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits with its exit code.
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
     * @param out the stream for the output of the command
     * @param err the stream for error messages
     * @return the exit code
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
