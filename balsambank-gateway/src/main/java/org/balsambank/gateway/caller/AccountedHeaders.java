package org.balsambank.gateway.caller;

import java.util.Objects;

import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The fields of a head or a trailer, whose memory is reserved as they are decoded. A short field holds many times the
 * bytes in which it was sent.
 *
 * <p>Confined to the decision loop.
 */
final class AccountedHeaders extends DefaultHttpHeaders {
    /** The entry and the objects of the name and the value, without their characters. */
    private static final int BYTES_PER_FIELD = 144;

    private final ClientAccount account;
    private long reservedBytes;

    private AccountedHeaders(final ClientAccount account, final DefaultHttpHeadersFactory rules) {
        super(rules.getNameValidator(), rules.getValueValidator());
        this.account = Objects.requireNonNull(account);
    }

    /**
     * Returns a factory for the fields of a connection.
     *
     * @param account what the connection holds
     * @param rules which names and values are valid
     * @return the factory
     */
    static HttpHeadersFactory factory(final ClientAccount account, final DefaultHttpHeadersFactory rules) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new AccountedHeaders(account, rules);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new AccountedHeaders(account, rules);
            }
        };
    }

    /** Releases the memory of fields that were decoded. */
    static void release(final HttpHeaders headers) {
        if (headers instanceof AccountedHeaders accounted) {
            accounted.account.heap().release(accounted.reservedBytes);
            accounted.reservedBytes = 0;
        }
    }

    @Override
    public HttpHeaders add(final CharSequence name, final Object value) {
        final long bytes = BYTES_PER_FIELD + name.length() + value.toString().length();
        account.unitDecoded();
        if (!account.heap().reserve(bytes)) {
            throw new NoMemoryException();
        }
        reservedBytes += bytes;
        return super.add(name, value);
    }

    /** Thrown if no memory is available for a field. Immutable and thread-safe. */
    static final class NoMemoryException extends DecoderException {
        private static final long serialVersionUID = 1L;

        private NoMemoryException() {
            super("no memory for the head");
        }
    }
}
