package org.balsambank.core.serving;

import java.time.Duration;
import java.util.Optional;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.admission.RateSlack;
import org.balsambank.core.serving.duty.DutySettings;

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
 * @param duties the calls that one VM at a time makes, empty if the operator has configured none
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
        Duration grace,
        Optional<DutySettings> duties) {
    /**
     * Creates settings without duties.
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
    public ServingSettings(
            final VmId vm,
            final FailureDomain domain,
            final String host,
            final int peerPort,
            final double retryShare,
            final double retryReserve,
            final RateSlack rateSlack,
            final double coldOverage,
            final double coldSlack,
            final Duration grace) {
        this(
                vm,
                domain,
                host,
                peerPort,
                retryShare,
                retryReserve,
                rateSlack,
                coldOverage,
                coldSlack,
                grace,
                Optional.empty());
    }
}
