package org.balsambank.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * Extracts the API key of a request and removes every header and query field that can carry one.
 *
 * <p>Stateless and thread-safe.
 */
final class CredentialFilter {
    private static final String AUTHORIZATION = "authorization";
    private static final String BEARER = "bearer ";
    private static final Set<String> CREDENTIAL_HEADERS = Set.of(
            AUTHORIZATION,
            "proxy-authorization",
            "x-api-key",
            "api-key",
            "x-auth-token",
            "x-access-token",
            "x-goog-api-key",
            "cookie");
    private static final Set<String> CREDENTIAL_FIELDS =
            Set.of("key", "api_key", "api-key", "apikey", "access_token", "token", "auth");
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length",
            "accept-encoding",
            "traceparent",
            "tracestate",
            "x-request-id",
            "x-fencing-number",
            "x-priority");

    private CredentialFilter() {}

    /**
     * Returns the API key sent as a bearer token.
     *
     * @param request the request
     * @return the key, if present
     */
    static Optional<String> extractKey(final HttpServerRequest request) {
        final String value = request.getHeader(AUTHORIZATION);
        if (value == null || !value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
            return Optional.empty();
        }
        final String key = value.substring(BEARER.length()).trim();
        return key.isEmpty() ? Optional.empty() : Optional.of(key);
    }

    /**
     * Returns the headers to forward to a target. Headers named in {@code Connection} are removed too.
     *
     * @param headers the caller's headers
     * @return the headers without credentials, hop-by-hop headers and headers that this VM sets itself
     */
    static List<RelayHeader> removeCredentials(final MultiMap headers) {
        final Set<String> named = headers.getAll("connection").stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        final List<RelayHeader> kept = new ArrayList<>();
        for (final Map.Entry<String, String> header : headers) {
            final String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!CREDENTIAL_HEADERS.contains(name) && !UNFORWARDED_HEADERS.contains(name) && !named.contains(name)) {
                kept.add(RelayHeader.newBuilder()
                        .setName(name)
                        .setValue(header.getValue())
                        .build());
            }
        }
        return kept;
    }

    /**
     * Returns the path and query to forward to a target.
     *
     * @param path the path as sent
     * @param query the query as sent, or null
     * @return the path with the query fields that can't carry a key
     */
    static String removeCredentials(final String path, final String query) {
        if (query == null || query.isEmpty()) {
            return path;
        }
        final String kept = Stream.of(query.split("&"))
                .filter(field -> !CREDENTIAL_FIELDS.contains(fieldName(field)))
                .collect(Collectors.joining("&"));
        return kept.isEmpty() ? path : path + "?" + kept;
    }

    private static String fieldName(final String field) {
        final String name = field.split("=", 2)[0];
        try {
            return java.net.URLDecoder.decode(name, java.nio.charset.StandardCharsets.UTF_8)
                    .toLowerCase(Locale.ROOT);
        } catch (final IllegalArgumentException e) {
            return name.toLowerCase(Locale.ROOT);
        }
    }
}
