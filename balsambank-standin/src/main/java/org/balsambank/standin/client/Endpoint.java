package org.balsambank.standin.client;

/**
 * The address of an HTTP server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record Endpoint(String host, int port) {
    /**
     * Parses {@code host:port}.
     *
     * @param text the endpoint in text form
     * @return the endpoint
     * @throws IllegalArgumentException if the text has no colon, or no number after it
     */
    public static Endpoint parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("endpoint must have the form host:port: " + text);
        }
        return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
