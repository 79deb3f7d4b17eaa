package org.balsambank.gateway;

import java.util.Optional;

/**
 * Where a VM listens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP number
 * @param callerPort the TCP port for callers
 * @param readyPort the TCP port of the page that tells whether new connections are welcome
 * @param readyPath the path of that page
 * @param metricsPort the TCP port of the metrics, if they are shown
 */
public record ListenAddresses(
        String host, int callerPort, int readyPort, String readyPath, Optional<Integer> metricsPort) {}
