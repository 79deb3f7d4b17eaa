package org.balsambank.gateway.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.ResponseHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a target gets of a cancelled attempt, over real sockets. Confined to one thread. */
final class CancelledAttemptTest {
    /** Fits into a send buffer, but not into the receive buffer of the target. */
    private static final int BODY_BYTES = 12_000;

    private static final int RECEIVE_BUFFER_BYTES = 2_048;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteBuf body = Unpooled.copiedBuffer("x".repeat(BODY_BYTES), StandardCharsets.US_ASCII);
    private ServerSocket target;
    private TargetConnectionPool pool;

    @BeforeEach
    void listen() throws IOException {
        target = new ServerSocket();
        target.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        target.setSoTimeout(READ_TIMEOUT_MILLIS);
        target.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        pool = new TargetConnectionPool("127.0.0.1", target.getLocalPort(), group, new TestDialect());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
        body.release();
    }

    // Guards against GONE: a request that its link held up is delivered after its caller has left, and runs.
    @Test
    void restOfCancelledRequestIsNotDeliveredLater() throws Exception {
        final TargetAttempt attempt = start();
        try (Socket accepted = target.accept()) {
            accepted.setSoTimeout(READ_TIMEOUT_MILLIS);
            final InputStream in = accepted.getInputStream();
            assertTrue(in.read() >= 0);
            group.submit(attempt::cancel).get();
            assertFalse(received(in).contains("x".repeat(BODY_BYTES)), "the target got the whole request");
        }
    }

    private TargetAttempt start() {
        final HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/p/x");
        final IgnoringListener listener = new IgnoringListener();
        final TargetAttempt attempt = new TargetAttempt(
                new TestDialect(), new RequestId("r1"), request, request.headers(), body, false, listener, listener);
        group.execute(() -> pool.start(attempt, 0));
        return attempt;
    }

    /** Reads until the connection ends or is reset. */
    private static String received(final InputStream in) {
        final StringBuilder text = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (final IOException reset) {
            return text.toString();
        }
        return text.toString();
    }

    /** Ignores the response. Stateless. */
    private static final class IgnoringListener implements ResponseSink, AttemptListener {
        @Override
        public void head(final HttpResponse head) {}

        @Override
        public void chunk(final ByteBuf chunk, final boolean last) {
            chunk.release();
        }

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public boolean connected() {
            return true;
        }

        @Override
        public boolean head(final ResponseHead head) {
            return true;
        }

        @Override
        public void chunk() {}

        @Override
        public void ended(final AttemptEnd end) {}
    }
}
