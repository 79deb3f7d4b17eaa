package org.balsambank.standin.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.balsambank.standin.kv.KeyValueServer;

/**
 * Starts a stand-in for the key-value service.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "kv", description = "starts a stand-in for the key-value service")
public final class KvCommand implements Runnable {
    @Option(name = "--port", description = "TCP port on loopback")
    @Required
    private int port;

    @Override
    public void run() {
        new Launcher().run(List.of(new KeyValueServer(port)));
    }
}
