package org.balsambank.gateway.caller;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the close of a connection whose peer reads slowly or not at all, in virtual time. Confined to one thread. */
final class GracefulCloseTest {
    private static final Duration STALL = Duration.ofSeconds(15);
    private static final int RESPONSE_BYTES = 100_000;

    private final StallableChannel channel = new StallableChannel();
    private final GracefulClose closing = new GracefulClose(channel, STALL);

    GracefulCloseTest() {
        channel.freezeTime();
    }

    @AfterEach
    void end() {
        channel.finishAndReleaseAll();
    }

    // Guards against LOST: a long response is cut off because its caller does not read for a moment.
    @Test
    void responseIsWrittenWholeToAPeerThatStalls() {
        writeResponseToStalledPeer();
        advance(Duration.ofMillis(1_500));
        assertTrue(channel.isActive());
        assertFalse(closing.flushed());
        channel.resume();
        assertEquals(RESPONSE_BYTES, ((ByteBuf) channel.readOutbound()).readableBytes());
        assertTrue(closing.flushed());
    }

    @Test
    void connectionIsClosedSoonAfterTheResponseIsWritten() {
        writeResponseToStalledPeer();
        channel.resume();
        assertTrue(channel.isActive(), "input that arrives now must not reset the connection");
        advance(Duration.ofMillis(500));
        assertFalse(channel.isActive());
    }

    // Guards against connections that stay open for good, as their peers never read on.
    @Test
    void connectionIsClosedIfThePeerReadsNothingForTheStallTime() {
        writeResponseToStalledPeer();
        advance(STALL.multipliedBy(2));
        assertFalse(channel.isActive());
    }

    private void writeResponseToStalledPeer() {
        channel.stall();
        channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
        closing.start();
    }

    private void advance(final Duration duration) {
        channel.advanceTimeBy(duration.toMillis(), TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }
}
