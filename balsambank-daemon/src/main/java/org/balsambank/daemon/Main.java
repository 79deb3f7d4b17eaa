package org.balsambank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Vertx;
import org.balsambank.daemon.settings.Settings;
import org.balsambank.daemon.settings.SettingsException;
import org.balsambank.daemon.settings.SettingsReader;

/**
 * The daemon of a VM.
 *
 * <p>Exits with 0 after a planned stop, 1 if the VM can't continue, 2 if the settings or the arguments are invalid.
 */
@Command(name = "balsambankd", description = "Serves callers on one VM until it is stopped.")
public final class Main {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int FAILED = 1;
    private static final int INVALID = 2;

    @AirlineModule
    private HelpOption<Main> help;

    @Required
    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "The settings of the VM, JSON with comments.")
    private String settingsFile;

    @Option(
            name = {"--check"},
            description = "Checks the settings and exits.")
    private boolean checkOnly;

    /** Creates an instance without options; the command line parser sets them. */
    public Main() {}

    /**
     * Starts the daemon.
     *
     * @param arguments the command line arguments
     */
    public static void main(final String[] arguments) {
        try {
            final Main main = SingleCommand.singleCommand(Main.class).parse(arguments);
            if (!main.help.showHelpIfRequested()) {
                main.start();
            }
        } catch (final ParseException | SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(INVALID);
        } catch (final IOException e) {
            System.err.println("can't read " + e.getMessage());
            System.exit(INVALID);
        }
    }

    private void start() throws IOException, SettingsException {
        final Settings settings = SettingsReader.read(Files.readString(Path.of(settingsFile)), settingsFile);
        if (checkOnly) {
            System.out.println(settingsFile + ": ok");
            return;
        }
        Vertx.vertx().deployVerticle(new VmVerticle(settings)).onFailure(Main::fail);
    }

    private static void fail(final Throwable error) {
        LOGGER.atSevere().withCause(error).log("event=vm_failed");
        Runtime.getRuntime().halt(FAILED);
    }

    /** Runs the VM on its event loop. Confined to the decision loop. */
    private static final class VmVerticle extends AbstractVerticle {
        private final Settings settings;

        VmVerticle(final Settings settings) {
            this.settings = settings;
        }

        @Override
        public void start() {
            final Daemon daemon = new Daemon(vertx, context, settings);
            daemon.run().subscribe(() -> {}, Main::fail);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        }

        private void stop(final Daemon daemon) {
            new DecisionLoop(context)
                    .timer()
                    .after(java.time.Duration.ZERO)
                    .andThen(io.reactivex.rxjava3.core.Completable.defer(daemon::stop))
                    .blockingAwait(settings.stopTimeout().toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS);
        }
    }
}
