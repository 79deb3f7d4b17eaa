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
 * <p>Confined to the decision loop. A VM that is missing from a later list keeps its address, for the list lags, until
 * {@link #forget} removes it.
 */
public final class PeerAddresses {
    private final Map<VmId, InetSocketAddress> addresses = new HashMap<>();

    /** Creates an empty book. */
    public PeerAddresses() {}

    /**
     * Takes over the addresses of a list.
     *
     * @param entries the VMs
     */
    public void update(final Collection<VmEntry> entries) {
        entries.forEach(entry -> put(entry.id(), entry.host(), entry.peerPort()));
    }

    /**
     * Sets the address of one VM.
     *
     * @param vm the VM
     * @param host its IP number
     * @param port its TCP port for links
     */
    public void put(final VmId vm, final String host, final int port) {
        final InetSocketAddress known = addresses.get(vm);
        if (known == null || known.getPort() != port || !known.getHostString().equals(host)) {
            addresses.put(vm, new InetSocketAddress(host, port));
        }
    }

    /**
     * Removes a VM.
     *
     * @param vm the VM
     */
    public void forget(final VmId vm) {
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
