package org.balsambank.gateway.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.UnaryOperator;

/**
 * A target on loopback that sends a second copy of each response, or a part of it, where the next response on its
 * connection is due.
 *
 * <p>Requests must not have a body. Each connection has a thread of its own.
 */
final class LateCopyTarget implements AutoCloseable {
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ServerSocket server = new ServerSocket();
    private final Deque<String> responses = new ConcurrentLinkedDeque<>();
    private final UnaryOperator<String> copy;
    private volatile int connections;
    private volatile Socket newest;
    private volatile boolean closing;

    /** Starts a target; the operator returns what is sent a second time of a response, empty for nothing. */
    LateCopyTarget(final UnaryOperator<String> copy) throws IOException {
        this.copy = Objects.requireNonNull(copy);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds the response to the next request, on whatever connection it comes. */
    void addResponse(final String response) {
        responses.add(response);
    }

    /** Sends bytes on the newest connection, whether or not a request waits on it. */
    void send(final String bytes) throws IOException {
        newest.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Closes each connection after a response. */
    void closeAfterResponses() {
        closing = true;
    }

    /** Returns the number of connections accepted so far. */
    int connections() {
        return connections;
    }

    private void acceptAll() throws IOException {
        while (true) {
            final Socket accepted = server.accept();
            newest = accepted;
            connections++;
            start(() -> serve(accepted));
        }
    }

    private void serve(final Socket connection) throws IOException {
        String late = "";
        while (readHead(connection.getInputStream())) {
            final String response = responses.poll();
            connection.getOutputStream().write((late + response).getBytes(StandardCharsets.ISO_8859_1));
            late = copy.apply(response);
            if (closing) {
                connection.close();
                return;
            }
        }
    }

    private static boolean readHead(final InputStream in) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            final int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    private static void start(final Task task) {
        final Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (final IOException e) {
                // The socket was closed, which ends the thread.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** What a thread does. */
    private interface Task {
        void run() throws IOException;
    }
}
