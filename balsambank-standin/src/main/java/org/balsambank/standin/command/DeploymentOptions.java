package org.balsambank.standin.command;

import com.github.rvesse.airline.annotations.Option;
import org.balsambank.standin.load.Ports;
import org.balsambank.standin.load.Profile;

/**
 * The options that select a deployment.
 *
 * <p>Populated by Airline and not modified afterwards.
 */
public final class DeploymentOptions {
    @Option(name = "--profile", description = "deployment: ribera or vysocina")
    private String profile = "ribera";

    @Option(name = "--vms", description = "number of VMs")
    private int vms = 6;

    @Option(name = "--port-offset", description = "number added to each port")
    private int portOffset;

    /**
     * Returns the deployment.
     *
     * @return the profile
     */
    public Profile profile() {
        return Profile.of(profile);
    }

    /**
     * Returns the number of VMs.
     *
     * @return the VM count
     */
    public int vms() {
        return vms;
    }

    /**
     * Returns the ports of the deployment.
     *
     * @return the ports
     */
    public Ports ports() {
        return new Ports(portOffset);
    }
}
