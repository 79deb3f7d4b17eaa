package org.balsambank.gateway;

import java.util.Optional;

/**
 * The addresses on which a VM listens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address
 * @param callerPort the TCP port for callers
 * @param readyPort the TCP port of the readiness page
 * @param readyPath the path of the readiness page
 * @param metricsPort the TCP port of the metrics page, if it is served
 */
public record ListenAddresses(
        String host, int callerPort, int readyPort, String readyPath, Optional<Integer> metricsPort) {}
