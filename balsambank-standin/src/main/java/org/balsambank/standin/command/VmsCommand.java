package org.balsambank.standin.command;

import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.balsambank.standin.vms.VmListServer;

/**
 * Starts a stand-in for the VM list.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "vms", description = "starts a stand-in for the VM list")
public final class VmsCommand implements Runnable {
    @Option(name = "--port", description = "TCP port on loopback")
    @Required
    private int port;

    @AirlineModule
    private VmOptions options = new VmOptions();

    @Override
    public void run() {
        new Launcher().run(List.of(new VmListServer(port, options.vms())));
    }
}
