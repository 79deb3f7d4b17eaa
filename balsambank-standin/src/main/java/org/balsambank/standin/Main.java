package org.balsambank.standin;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Parser;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.balsambank.standin.command.AwaitCommand;
import org.balsambank.standin.command.DeploymentCommand;
import org.balsambank.standin.command.EngineCommand;
import org.balsambank.standin.command.FleetCommand;
import org.balsambank.standin.command.KvCommand;
import org.balsambank.standin.command.LoadCommand;
import org.balsambank.standin.command.ServiceCommand;
import org.balsambank.standin.command.SmokeCommand;
import org.balsambank.standin.command.VmsCommand;
import org.balsambank.standin.experiment.IdempotencyCommand;
import org.balsambank.standin.experiment.LatencyCommand;
import org.balsambank.standin.experiment.PlacementCommand;
import org.balsambank.standin.experiment.RatesCommand;
import org.balsambank.standin.experiment.ReadingCommand;
import org.balsambank.standin.experiment.TargetDecisionCostsCommand;

/**
 * The entry point of the stand-ins and load tools.
 *
 * <p>Stateless and thread-safe.
 */
@com.github.rvesse.airline.annotations.Cli(
        name = "balsambank-standin",
        description = "stand-ins for the external systems of balsambank, and load tools",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            EngineCommand.class,
            ServiceCommand.class,
            KvCommand.class,
            VmsCommand.class,
            FleetCommand.class,
            AwaitCommand.class,
            SmokeCommand.class,
            DeploymentCommand.class,
            LoadCommand.class,
            LatencyCommand.class,
            IdempotencyCommand.class,
            PlacementCommand.class,
            RatesCommand.class,
            TargetDecisionCostsCommand.class,
            ReadingCommand.class
        },
        parserConfiguration = @Parser)
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Parses the command line and runs the command.
     *
     * @param arguments the command line
     */
    public static void main(final String[] arguments) {
        try {
            new Cli<Runnable>(Main.class).parse(arguments).run();
        } catch (final ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
