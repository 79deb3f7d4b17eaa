package org.balsambank.gateway.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.EventLoopGroup;
import org.balsambank.gateway.loop.NextPoll;

/**
 * A server on loopback that accepts one connection and takes in a few bytes of it. The system of the sender holds the
 * rest back until it is read.
 *
 * <p>Confined to one thread.
 */
final class SmallReceiver implements AutoCloseable {
    /** A size that fits into a send buffer, but not into the receive buffer of this server, in bytes. */
    static final int HELD_UP_BYTES = 12_000;

    private static final int RECEIVE_BUFFER_BYTES = 2_048;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final ServerSocket server = new ServerSocket();
    private Socket accepted;
    private boolean reset;

    SmallReceiver() throws IOException {
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.setSoTimeout(TIMEOUT_MILLIS);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    int port() {
        return server.getLocalPort();
    }

    /** Accepts the connection and waits for its first byte. */
    void acceptFirstByte() throws IOException {
        accepted = server.accept();
        accepted.setSoTimeout(TIMEOUT_MILLIS);
        if (accepted.getInputStream().read() < 0) {
            throw new IOException("the connection was closed before its first byte");
        }
    }

    /**
     * Waits until the sender ends or resets the connection, and returns all that it delivered. Reads only after a round
     * of the sender's event loop, which closes a socket not before its next select.
     */
    String receiveRest(final EventLoopGroup sender) throws IOException, InterruptedException {
        awaitPoll(sender);
        final StringBuilder text = new StringBuilder();
        final InputStream in = accepted.getInputStream();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (final SocketException e) {
            reset = true;
        }
        return text.toString();
    }

    /** Waits until the sender's event loop has read its sockets once more. */
    static void awaitPoll(final EventLoopGroup sender) throws InterruptedException {
        final CountDownLatch polled = new CountDownLatch(1);
        sender.execute(() -> NextPoll.runAfter(sender.next(), polled::countDown));
        polled.await();
    }

    /** Returns whether the sender has reset the connection, after {@link #receiveRest}. */
    boolean wasReset() {
        return reset;
    }

    /** Sends the beginning of a response. */
    void respond(final String bytes) throws IOException {
        accepted.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends what this server sends; the connection stays open for what the sender has not sent yet. */
    void endOutput() throws IOException {
        accepted.shutdownOutput();
    }

    /** Resets the connection. */
    void reset() throws IOException {
        accepted.setSoLinger(true, 0);
        accepted.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        if (accepted != null) {
            accepted.close();
        }
    }
}
