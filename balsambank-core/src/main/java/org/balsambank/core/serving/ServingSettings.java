package org.balsambank.core.serving;

import java.time.Duration;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.admission.RateSlack;

/**
 * What a VM has to know to serve.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm this VM
 * @param domain where it stands
 * @param host the IP number on which the others reach it
 * @param peerPort the TCP port on which the others reach it
 * @param retryShare the retries that the fleet may send for each request
 * @param retryReserve the retries that the fleet may send besides
 * @param rateSlack how far rates of teams may be exceeded
 * @param coldOverage how far the requests of a second at a cold target may exceed its figure, as a factor
 * @param coldSlack how many more requests it bears
 * @param grace how long this VM has to stop
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
