package org.balsambank.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.balsambank.core.id.VmId;
import org.balsambank.core.port.VmEntry;

/**
 * Keeps the last known address of each VM.
 *
 * <p>Confined to the decision loop. Because the VM list lags behind, a VM that is missing from a later list keeps its
 * address until {@link #remove} removes it.
 */
public final class PeerAddresses {
    private final Map<VmId, InetSocketAddress> addresses = new HashMap<>();

    /** Creates an instance without addresses. */
    public PeerAddresses() {}

    /**
     * Adds or replaces the addresses of the listed VMs.
     *
     * @param entries the listed VMs
     */
    public void update(final Collection<VmEntry> entries) {
        entries.forEach(entry -> put(entry.id(), entry.host(), entry.peerPort()));
    }

    /**
     * Sets the address of one VM.
     *
     * @param vm the VM
     * @param host its IP address
     * @param port its TCP port for peer connections
     */
    public void put(final VmId vm, final String host, final int port) {
        final InetSocketAddress current = addresses.get(vm);
        if (current == null
                || current.getPort() != port
                || !current.getHostString().equals(host)) {
            addresses.put(vm, new InetSocketAddress(host, port));
        }
    }

    /**
     * Removes the address of a VM.
     *
     * @param vm the VM
     */
    public void remove(final VmId vm) {
        addresses.remove(vm);
    }

    /**
     * Returns the address of a VM.
     *
     * @param vm the VM
     * @return its address, if one is known
     */
    public Optional<InetSocketAddress> lookup(final VmId vm) {
        return Optional.ofNullable(addresses.get(vm));
    }
}
