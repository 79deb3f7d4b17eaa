package org.balsambank.standin.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.balsambank.standin.service.ServiceServer;

/**
 * Starts a stand-in for a plain service.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "service", description = "starts a stand-in for a plain service")
public final class ServiceCommand implements Runnable {
    @Option(name = "--port", description = "TCP port on loopback")
    @Required
    private int port;

    @Override
    public void run() {
        new Launcher().run(List.of(new ServiceServer(port)));
    }
}
