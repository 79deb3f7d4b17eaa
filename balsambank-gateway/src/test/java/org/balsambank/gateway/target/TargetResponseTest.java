package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.ResponseHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what becomes of the bytes that a faulty target sends. Confined to one thread. */
final class TargetResponseTest {
    private static final String OWN = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nhello";
    private static final String FOREIGN = "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 3\r\n\r\nold";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TargetConnectionPool pool = new TargetConnectionPool("127.0.0.1", 1, group, new TestDialect());
    private final StrictResponseDecoder decoder = new StrictResponseDecoder();
    private final TargetConnection connection = new TargetConnection(pool, decoder);
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
    private final Heard heard = new Heard();
    private final TargetAttempt send = begin(false);

    @AfterEach
    void end() {
        channel.finishAndReleaseAll();
        group.shutdownGracefully();
    }

    @Test
    void aWholeAnswerIsPassedOnAndItsConnectionIsKept() {
        arrive(OWN);
        assertEquals("hello", heard.body.toString());
        assertEquals(List.of(AttemptEnd.COMPLETE), heard.ends);
        assertTrue(connection.reusable());
    }

    @Test
    void anAnswerThatEndsEarlyIsBroken() {
        arrive(OWN.substring(0, OWN.length() - 1));
        channel.close();
        assertEquals(List.of(AttemptEnd.BROKEN), heard.ends);
        assertFalse(heard.last);
    }

    @Test
    void anAnswerWithoutALengthIsWholeIfItsConnectionIsClosed() {
        arrive("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello");
        channel.close();
        assertEquals(List.of(AttemptEnd.COMPLETE), heard.ends);
        assertTrue(heard.last);
    }

    @Test
    void anAnswerWithoutALengthIsBrokenIfItsConnectionIsReset() {
        arrive("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close();
        assertEquals(List.of(AttemptEnd.BROKEN), heard.ends);
        assertFalse(heard.last);
    }

    @Test
    void anExtraAnswerAfterAWholeOneEndsTheConnection() {
        arrive(OWN);
        arrive(OWN);
        assertEquals("hello", heard.body.toString());
        assertEquals(List.of(AttemptEnd.COMPLETE), heard.ends);
        assertFalse(channel.isActive());
    }

    @Test
    void anAnswerToAnotherRequestIsSkippedAndItsConnectionIsNotKept() {
        arrive(FOREIGN);
        assertEquals("", heard.body.toString());
        arrive(OWN);
        assertEquals("hello", heard.body.toString());
        assertEquals(List.of(AttemptEnd.COMPLETE), heard.ends);
        assertFalse(connection.reusable());
    }

    @Test
    void bytesThatAreNoAnswerLoseTheSend() {
        arrive("hello, who is there?\r\n\r\n");
        assertEquals(List.of(AttemptEnd.LOST), heard.ends);
        assertEquals("", heard.body.toString());
    }

    @Test
    void twoLengthsLoseTheSend() {
        arrive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        assertEquals(List.of(AttemptEnd.LOST), heard.ends);
    }

    @Test
    void anAnswerThatIsToBeWholeIsHeldBackUntilItIs() {
        send.cancel();
        final EmbeddedChannel other = new EmbeddedChannel();
        final Heard late = new Heard();
        final TargetAttempt whole = new TargetAttempt(
                new TestDialect(), new RequestId("r1"), request(), request().headers(), body(), true, late, late);
        whole.write(other);
        final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(TestDialect.ID, "r1");
        assertTrue(whole.head(head));
        whole.piece(Unpooled.copiedBuffer("hel", StandardCharsets.UTF_8));
        assertEquals("", late.body.toString());
        whole.lost();
        assertEquals(List.of(AttemptEnd.LOST), late.ends);
        assertEquals("", late.body.toString());
        other.finishAndReleaseAll();
    }

    @Test
    void nothingIsHeardAfterACancel() {
        arrive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nhe");
        send.cancel();
        assertFalse(channel.isActive());
        assertEquals(List.of(), heard.ends);
    }

    private TargetAttempt begin(final boolean whole) {
        final TargetAttempt begun = new TargetAttempt(
                new TestDialect(), new RequestId("r1"), request(), request().headers(), body(), whole, heard, heard);
        begun.on(connection);
        connection.begin(begun, channel);
        return begun;
    }

    private static HttpRequest request() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/p/x");
    }

    private static ByteBuf body() {
        return Unpooled.copiedBuffer("{}", StandardCharsets.UTF_8);
    }

    private void arrive(final String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** What the caller's side and the steps of the request hear. */
    private static final class Heard implements ResponseSink, AttemptListener {
        private final StringBuilder body = new StringBuilder();
        private final List<AttemptEnd> ends = new ArrayList<>();
        private boolean last;

        @Override
        public void head(final HttpResponse head) {}

        @Override
        public void piece(final ByteBuf piece, final boolean lastPiece) {
            body.append(piece.toString(StandardCharsets.UTF_8));
            piece.release();
            last |= lastPiece;
        }

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public boolean head(final ResponseHead head) {
            return true;
        }

        @Override
        public void chunk() {}

        @Override
        public void ended(final AttemptEnd end) {
            ends.add(end);
        }
    }
}
