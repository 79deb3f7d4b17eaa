package org.balsambank.peer;

import java.time.Duration;

import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.protocol.generated.peer.PeerFailure;

/**
 * Converts errors to failure frames and back.
 *
 * <p>Stateless and thread-safe. An error without an {@link ErrorKind} becomes {@code INTERNAL} and keeps only its class
 * name.
 */
final class FailureCodec {
    private FailureCodec() {}

    /**
     * Encodes an error.
     *
     * @param call the id of the call
     * @param error the error
     * @return the payload of the failure frame
     */
    static PeerFailure encode(final long call, final Throwable error) {
        final BalsambankException converted = toBalsambankException(error);
        final PeerFailure.Builder failure = PeerFailure.newBuilder()
                .setId(call)
                .setKind(converted.kind().name())
                .setMessage(String.valueOf(converted.getMessage()));
        converted.retryAfter().ifPresent(delay -> failure.setRetryAfterMillis(delay.toMillis()));
        return failure.build();
    }

    /**
     * Converts an error to one with an {@link ErrorKind}.
     *
     * @param error the error
     * @return the error itself, or an {@code INTERNAL} error with its class name as the message
     */
    static BalsambankException toBalsambankException(final Throwable error) {
        if (error instanceof BalsambankException known) {
            return known;
        }
        return new BalsambankException(ErrorKind.INTERNAL, error.getClass().getSimpleName());
    }

    /**
     * Decodes an error.
     *
     * @param failure the payload of the failure frame
     * @return the error; an unknown kind becomes {@code INTERNAL}
     */
    static BalsambankException decode(final PeerFailure failure) {
        final Duration retryAfter =
                failure.hasRetryAfterMillis() ? Duration.ofMillis(failure.getRetryAfterMillis()) : null;
        return new BalsambankException(kind(failure.getKind()), failure.getMessage(), retryAfter);
    }

    private static ErrorKind kind(final String name) {
        try {
            return ErrorKind.valueOf(name);
        } catch (final IllegalArgumentException e) {
            return ErrorKind.INTERNAL;
        }
    }
}
