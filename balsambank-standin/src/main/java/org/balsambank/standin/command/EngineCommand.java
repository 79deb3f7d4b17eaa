package org.balsambank.standin.command;

import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.balsambank.standin.engine.EngineServer;

/**
 * Starts a stand-in for a model engine.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "engine", description = "starts a stand-in for a model engine")
public final class EngineCommand implements Runnable {
    @Option(name = "--port", description = "TCP port on loopback")
    @Required
    private int port;

    @AirlineModule
    private EngineOptions options = new EngineOptions();

    @Override
    public void run() {
        final Launcher launcher = new Launcher();
        launcher.run(List.of(new EngineServer(
                port, options.settings("engine-" + port, false), launcher.weightStore(options.loadTime()))));
    }
}
