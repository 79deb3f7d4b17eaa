package org.balsambank.gateway.target;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A target on loopback that responds to requests as told, breaks connections, and ends.
 *
 * <p>Requests must not have a body. Each connection has a thread of its own.
 */
final class BreakableTarget implements AutoCloseable {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int NO_LINGER = 0;

    private final ServerSocket server = new ServerSocket();
    private final BlockingQueue<Action> actions = new LinkedBlockingQueue<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Thread acceptor;

    BreakableTarget() throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        acceptor = start(() -> {
            while (true) {
                final Socket accepted = server.accept();
                connections.add(accepted);
                start(() -> serve(accepted));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Responds to the next request with some bytes, and leaves its connection open. */
    void write(final String response) {
        actions.add(connection -> send(connection, response));
    }

    /** Responds to the next request with some bytes, and closes its connection. */
    void writeAndClose(final String response) {
        actions.add(connection -> {
            send(connection, response);
            connection.close();
        });
    }

    /** Resets the connection of the next request. */
    void reset() {
        actions.add(BreakableTarget::reset);
    }

    /** Ends the whole target at the next request. */
    void crash() {
        actions.add(connection -> close());
    }

    @Override
    public void close() throws IOException {
        server.close();
        awaitRefusal();
        for (final Socket each : connections) {
            reset(each);
        }
    }

    /** Waits until the acceptor has left the socket, which goes on accepting connections as long as it is waited on. */
    private void awaitRefusal() throws IOException {
        try {
            acceptor.join();
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the target ends");
        }
    }

    private static void reset(final Socket connection) throws IOException {
        if (!connection.isClosed()) {
            connection.setSoLinger(true, NO_LINGER);
            connection.close();
        }
    }

    private static void send(final Socket connection, final String response) throws IOException {
        connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void serve(final Socket connection) throws IOException, InterruptedException {
        while (readHead(connection.getInputStream())) {
            actions.take().run(connection);
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

    private static Thread start(final Task task) {
        final Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (final IOException | InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** What is done with the connection of a request. */
    private interface Action {
        void run(Socket connection) throws IOException;
    }

    /** The body of a thread. */
    private interface Task {
        void run() throws IOException, InterruptedException;
    }
}
