package org.balsambank.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.protocol.generated.peer.PeerEnd;
import org.balsambank.protocol.generated.peer.PeerFrame;
import org.balsambank.protocol.generated.peer.PeerItem;
import org.balsambank.protocol.generated.peer.PeerWelcome;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that no part of an earlier response reaches a later call to another VM. Uses real sockets.
 *
 * <p>The other VM is written by hand: it sends the frames that the test says.
 */
final class CutFrameTest {
    private static final int MAX_WAIT_SECONDS = 20;
    private static final int MAX_WAIT_MILLIS = 20_000;
    private static final RelayChunk REQUEST = PeerFixture.chunk("request");
    private static final RelayChunk EARLIER = PeerFixture.chunk("earlier");
    private static final RelayChunk OWN = PeerFixture.chunk("own");
    private static final byte[] COPY = response(1, EARLIER);
    private static final int COPY_ITEM_LENGTH = frame(item(1, EARLIER)).length;
    private static final int PART = 3;

    private final PeerFixture fixture = new PeerFixture();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getByName(PeerFixture.HOST));
        server.setSoTimeout(MAX_WAIT_MILLIS);
        fixture.onLoop(() -> fixture.addresses.put(PeerFixture.FAR, PeerFixture.HOST, server.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        fixture.close();
        server.close();
    }

    // Guards against a response of the link before: call ids begin anew with each link.
    @ParameterizedTest
    @MethodSource("lengths")
    void responseThatWasCutByAReconnectDoesNotAnswerTheCallWithTheSameId(final int length) throws Exception {
        final TestSubscriber<RelayChunk> first = call();
        final TestSubscriber<RelayChunk> unanswered;
        try (Socket link = accept()) {
            assertEquals(1, readCall(link));
            unanswered = call();
            assertEquals(2, readCall(link));
            link.getOutputStream().write(COPY, 0, length);
        }
        assertTrue(first.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        assertTrue(unanswered.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        unanswered.assertNoValues().assertNotComplete();
        assertEquals(length == COPY.length, isComplete(first));
        final TestSubscriber<RelayChunk> second = call();
        try (Socket link = accept()) {
            assertEquals(1, readCall(link));
            link.getOutputStream().write(response(1, OWN));
            assertTrue(second.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        }
        second.assertResult(OWN);
    }

    // Guards against the rest of a response that comes on the link before, after the new link has opened.
    @Test
    void responseOnAnAbandonedLinkDoesNotAnswerTheCallWithTheSameId() throws Exception {
        final TestSubscriber<RelayChunk> first = call();
        try (Socket abandoned = accept()) {
            assertEquals(1, readCall(abandoned));
            abandoned.getOutputStream().write(COPY, 0, PART);
            fixture.advance(Duration.ofSeconds(10));
            assertTrue(first.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
            first.assertNotComplete();
            final TestSubscriber<RelayChunk> second = call();
            try (Socket link = accept()) {
                assertEquals(1, readCall(link));
                writeUnlessReset(abandoned, Arrays.copyOfRange(COPY, PART, COPY.length));
                link.getOutputStream().write(response(1, OWN));
                assertTrue(second.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
            }
            second.assertResult(OWN);
        }
    }

    // Guards against a late copy of an earlier response, whole or in part, that is read with the next one.
    @ParameterizedTest
    @MethodSource("lengths")
    void partOfACopyOnTheSameLinkGivesACallNoOtherResponse(final int length) throws Exception {
        final TestSubscriber<RelayChunk> first = call();
        final TestSubscriber<RelayChunk> second;
        try (Socket link = accept()) {
            assertEquals(1, readCall(link));
            link.getOutputStream().write(COPY);
            assertTrue(first.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
            first.assertResult(EARLIER);
            second = call();
            assertEquals(2, readCall(link));
            final byte[] part = Arrays.copyOf(COPY, length);
            link.getOutputStream().write(ByteBufUtil.getBytes(Unpooled.wrappedBuffer(part, response(2, OWN))));
        }
        assertTrue(second.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        if (length == COPY_ITEM_LENGTH || length == COPY.length) {
            second.assertResult(OWN);
        } else {
            second.assertNoValues().assertNotComplete();
        }
    }

    private static IntStream lengths() {
        return IntStream.rangeClosed(1, COPY.length);
    }

    private static boolean isComplete(final TestSubscriber<RelayChunk> subscriber) {
        try {
            subscriber.assertComplete();
            return true;
        } catch (final AssertionError e) {
            return false;
        }
    }

    private TestSubscriber<RelayChunk> call() {
        return fixture.subscribeOnLoop(fixture.near.stream(PeerFixture.FAR, PeerFixture.ECHO, REQUEST))
                .test();
    }

    /** Accepts the next link and answers its hello. */
    private Socket accept() throws IOException {
        final Socket link = server.accept();
        link.setSoTimeout(MAX_WAIT_MILLIS);
        assertTrue(readFrame(link).hasHello());
        link.getOutputStream()
                .write(frame(PeerFrame.newBuilder()
                        .setWelcome(PeerWelcome.getDefaultInstance())
                        .build()));
        return link;
    }

    /** Writes on a link that the VM has given up, and may have reset already; then the bytes can't arrive. */
    private static void writeUnlessReset(final Socket link, final byte[] bytes) {
        try {
            link.getOutputStream().write(bytes);
        } catch (final IOException e) {
            assertTrue(link.isConnected(), "the link was never open");
        }
    }

    /** Returns the id of the next call, past other frames. */
    private static long readCall(final Socket link) throws IOException {
        PeerFrame frame = readFrame(link);
        while (!frame.hasCall()) {
            frame = readFrame(link);
        }
        return frame.getCall().getId();
    }

    private static PeerFrame readFrame(final Socket link) throws IOException {
        final DataInputStream input = new DataInputStream(link.getInputStream());
        return PeerFrame.parseFrom(input.readNBytes(input.readInt()));
    }

    private static byte[] response(final long id, final RelayChunk chunk) {
        return ByteBufUtil.getBytes(Unpooled.wrappedBuffer(frame(item(id, chunk)), frame(end(id))));
    }

    private static PeerFrame item(final long id, final RelayChunk chunk) {
        final ByteString answer = chunk.toByteString();
        return PeerFrame.newBuilder()
                .setItem(PeerItem.newBuilder().setId(id).setAnswer(answer))
                .build();
    }

    private static PeerFrame end(final long id) {
        return PeerFrame.newBuilder()
                .setEnd(PeerEnd.newBuilder().setId(id).setItems(1))
                .build();
    }

    private static byte[] frame(final PeerFrame frame) {
        return ByteBufUtil.getBytes(FrameHandler.encode(frame));
    }
}
