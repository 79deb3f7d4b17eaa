package org.balsambank.daemon.settings;

import java.time.Duration;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.daemon.http.CallerLimits;

/**
 * The validated settings of a VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the id of the VM
 * @param failureDomain the failure domain of the VM
 * @param callers the endpoint for callers
 * @param callerLimits the limits on requests and connections of callers
 * @param operators the endpoint for operators, with the operator token
 * @param peers the endpoint for other VMs, with the fleet token
 * @param keyValueUrl the URL of the key-value service
 * @param keyValueTimeout the time limit of a call to the key-value service
 * @param vmListUrl the URL of the VM list
 * @param vmListPeriod the interval between reads of the VM list
 * @param partitions the number of partitions, the same on all VMs
 * @param leaseTimeToLive the time to live of the VM's lease
 * @param leaseRenewal the interval between lease renewals
 * @param idempotencyRetention how long the outcome of an idempotent call is kept
 * @param balancerWait how long a planned stop waits for the load balancer to notice
 * @param stopTimeout the time limit of a planned stop
 * @param tracesKept the number of spans kept for operators
 */
public record Settings(
        VmId vm,
        FailureDomain failureDomain,
        Endpoint callers,
        CallerLimits callerLimits,
        Endpoint operators,
        Endpoint peers,
        String keyValueUrl,
        Duration keyValueTimeout,
        String vmListUrl,
        Duration vmListPeriod,
        int partitions,
        Duration leaseTimeToLive,
        Duration leaseRenewal,
        Duration idempotencyRetention,
        Duration balancerWait,
        Duration stopTimeout,
        int tracesKept) {
    /**
     * A port on which this VM listens.
     *
     * @param host the IP address
     * @param port the TCP port
     * @param token the shared secret required from clients, empty if none is required
     */
    public record Endpoint(String host, int port, String token) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }
}
