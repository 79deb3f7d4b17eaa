package org.balsambank.core.serving;

import java.time.Duration;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.admission.RateSlack;

/**
 * The settings with which a VM serves.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm this VM
 * @param domain the failure domain of this VM
 * @param host the IP address at which other VMs reach it
 * @param peerPort the TCP port at which other VMs reach it
 * @param retryShare the retries that the fleet may send per request
 * @param retryReserve the retries that the fleet may send in addition, regardless of the number of requests
 * @param rateSlack how far teams may exceed their rates
 * @param coldOverage the factor on the announced rate limit of a cold target, for the requests of one second
 * @param coldSlack the requests per second allowed on top of that
 * @param grace how long the shutdown of this VM may take
 */
public record ServingSettings(
        VmId vm,
        FailureDomain domain,
        String host,
        int peerPort,
        double retryShare,
        double retryReserve,
        RateSlack rateSlack,
        double coldOverage,
        double coldSlack,
        Duration grace) {}
