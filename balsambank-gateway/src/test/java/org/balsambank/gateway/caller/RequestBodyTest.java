package org.balsambank.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the memory that request bodies hold. Confined to one thread. */
final class RequestBodyTest {
    private static final int LIMIT = 100_000;
    private static final int READ_BUFFER_BYTES = 65_536;
    private static final int PIECE_BYTES = 1_400;

    private final MemoryBudget budget = new MemoryBudget(LIMIT);
    private final RequestBody body = new RequestBody(budget);

    // Guards against CONFIG: bodies within the limit keep larger read buffers, until the memory of the VM is used up.
    @Test
    void bodyDoesNotKeepTheBuffersInWhichItWasRead() {
        for (int i = 0; i < 20; i++) {
            final ByteBuf read = Unpooled.directBuffer(READ_BUFFER_BYTES).writeZero(PIECE_BYTES);
            assertTrue(body.append(read));
            assertTrue(read.release(), "the body keeps a buffer of " + READ_BUFFER_BYTES + " bytes");
        }
        assertEquals(20 * PIECE_BYTES, body.bytes().readableBytes());
        assertEquals(budget.reservedBytes(), body.bytes().capacity());
    }

    @Test
    void bodyOfKnownLengthHoldsJustThat() {
        assertTrue(body.reserve(PIECE_BYTES));
        assertTrue(body.append(Unpooled.wrappedBuffer(new byte[PIECE_BYTES])));
        assertEquals(PIECE_BYTES, budget.reservedBytes());
    }

    @Test
    void bodiesBeyondTheLimitAreRefusedAndReleasedMemoryIsUsedAgain() {
        assertTrue(body.reserve(LIMIT));
        final RequestBody other = new RequestBody(budget);
        assertFalse(other.reserve(1));
        assertFalse(other.append(Unpooled.wrappedBuffer(new byte[1])));
        body.release();
        assertEquals(0, budget.reservedBytes());
        assertTrue(other.reserve(LIMIT));
    }
}
