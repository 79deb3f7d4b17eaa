package org.balsambank.core.port;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;

/**
 * A VM in the platform's VM list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the VM
 * @param failureDomain the failure domain of the VM
 * @param host the IP address of the VM
 * @param peerPort the TCP port for connections from other VMs
 * @param leaving true if the platform is about to terminate the VM
 */
public record VmEntry(VmId id, FailureDomain failureDomain, String host, int peerPort, boolean leaving) {}
