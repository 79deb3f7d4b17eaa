package org.balsambank.standin.command;

import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.balsambank.standin.engine.EngineServer;
import org.balsambank.standin.engine.WeightStore;
import org.balsambank.standin.http.HttpStandin;
import org.balsambank.standin.kv.KeyValueServer;
import org.balsambank.standin.service.ServiceServer;
import org.balsambank.standin.vms.VmListServer;

/**
 * Starts simulated engines, plain services, a key-value service and a VM list in one process. The engines share one
 * weight store.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "fleet", description = "starts several stand-ins in one process; the engines share one weight store")
public final class FleetCommand implements Runnable {
    @Option(name = "--engines", description = "number of engines")
    private int engines = 13;

    @Option(name = "--engine-port", description = "TCP port of the first engine; the others use the following ports")
    private int enginePort = 21001;

    @Option(name = "--services", description = "number of plain services, which have no adapters")
    private int services = 4;

    @Option(name = "--service-port", description = "TCP port of the first service; the others use the following ports")
    private int servicePort = 21101;

    @Option(name = "--kv-port", description = "TCP port of the key-value service, 0 for none")
    private int kvPort = 18200;

    @Option(name = "--vms-port", description = "TCP port of the VM list, 0 for none")
    private int vmsPort = 18201;

    @Option(
            name = "--fencing-every",
            description = "every Nth engine, starting with the first, rejects stale fencing numbers; 0 for none")
    private int fencingEvery;

    @AirlineModule
    private EngineOptions engineOptions = new EngineOptions();

    @AirlineModule
    private VmOptions vmOptions = new VmOptions();

    @Override
    public void run() {
        final Launcher launcher = new Launcher();
        launcher.run(createStandins(launcher));
    }

    private List<HttpStandin> createStandins(final Launcher launcher) {
        final List<HttpStandin> all = new ArrayList<>();
        final WeightStore weights = launcher.weightStore(engineOptions.loadTime());
        for (int i = 0; i < engines; i++) {
            final int port = enginePort + i;
            all.add(new EngineServer(
                    port,
                    engineOptions.settings("engine-" + port, fencingEvery > 0 && i % fencingEvery == 0),
                    weights));
        }
        for (int i = 0; i < services; i++) {
            all.add(new ServiceServer(servicePort + i));
        }
        if (kvPort != 0) {
            all.add(new KeyValueServer(kvPort));
        }
        if (vmsPort != 0) {
            all.add(new VmListServer(vmsPort, vmOptions.vms()));
        }
        return all;
    }
}
