package org.balsambank.daemon.http;

import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.balsambank.core.error.BalsambankException;

/**
 * Formats errors for callers.
 *
 * <p>Stateless and thread-safe.
 */
final class ErrorBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    private ErrorBody() {}

    /**
     * Formats an error as JSON.
     *
     * @param error the error
     * @return the body
     */
    static String json(final BalsambankException error) {
        final ObjectNode body = MAPPER.createObjectNode();
        final ObjectNode detail = body.putObject("error");
        detail.put("kind", error.kind().code());
        detail.put("message", error.getMessage());
        detail.put("ran", error.kind().executed().name().toLowerCase(Locale.ROOT));
        detail.put("retry", error.kind().retrySafety().name().toLowerCase(Locale.ROOT));
        error.retryAfter().ifPresent(delay -> detail.put("retry_after_ms", delay.toMillis()));
        return body.toString();
    }

    /**
     * Returns the value of the {@code Retry-After} header.
     *
     * @param delay the delay before a retry
     * @return the delay in seconds, rounded up, at least one
     */
    static String retryAfterSeconds(final Duration delay) {
        return Long.toString(Math.max(1, (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }
}
