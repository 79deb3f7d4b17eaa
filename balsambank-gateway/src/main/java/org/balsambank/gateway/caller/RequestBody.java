package org.balsambank.gateway.caller;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request while it is read and sent on.
 *
 * <p>Invariant: the memory that it holds is reserved from the budget of all connections. The bytes are copied from the
 * buffers in which they were read, since those are larger than what they hold. Confined to the decision loop.
 */
final class RequestBody {
    private static final int MIN_CAPACITY = 1_024;

    private final MemoryReservation budget;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /**
     * Creates an empty body.
     *
     * @param budget the memory for the bodies of all connections
     */
    RequestBody(final MemoryReservation budget) {
        this.budget = Objects.requireNonNull(budget);
    }

    /**
     * Makes room for bytes.
     *
     * @param length the length that the body will have, in bytes
     * @return false if the memory is not available
     */
    boolean reserve(final int length) {
        final int missing = length - bytes.capacity();
        if (missing <= 0) {
            return true;
        }
        if (!budget.reserve(missing)) {
            return false;
        }
        final ByteBuf larger = Unpooled.directBuffer(length, length).writeBytes(bytes);
        bytes.release();
        bytes = larger;
        return true;
    }

    /**
     * Appends bytes.
     *
     * @param read the bytes; not released
     * @return false if the memory is not available
     */
    boolean append(final ByteBuf read) {
        final int length = bytes.readableBytes() + read.readableBytes();
        if (length > bytes.capacity() && !reserve(Math.max(length, Math.max(MIN_CAPACITY, 2 * bytes.capacity())))) {
            return false;
        }
        if (read.isReadable()) {
            bytes.writeBytes(read, read.readerIndex(), read.readableBytes());
        }
        return true;
    }

    /**
     * Returns the bytes.
     *
     * @return the buffer, owned by this body
     */
    ByteBuf bytes() {
        return bytes;
    }

    /**
     * Releases the memory. A request that is still sent to a target keeps the bytes until then.
     */
    void release() {
        budget.release(bytes.capacity());
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
    }
}
