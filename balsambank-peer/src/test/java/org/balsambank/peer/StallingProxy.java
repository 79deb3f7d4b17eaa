package org.balsambank.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes bytes between two ends until told to drop them while it keeps the connections open. Thread-safe. */
final class StallingProxy implements AutoCloseable {
    private final ServerSocket server;
    private final int targetPort;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile int silentConnections;

    StallingProxy(final int targetPort) throws IOException {
        this.targetPort = targetPort;
        server = new ServerSocket(0, 0, InetAddress.getByName(PeerFixture.HOST));
        thread(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void silence() {
        silentConnections = sockets.size();
    }

    void cut() throws IOException {
        for (final Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }

    private void accept() throws IOException {
        while (true) {
            final Socket client = server.accept();
            final Socket target = new Socket(server.getInetAddress(), targetPort);
            final int number = sockets.size();
            sockets.add(client);
            sockets.add(target);
            thread(() -> pass(client, target, number));
            thread(() -> pass(target, client, number));
        }
    }

    private void pass(final Socket from, final Socket to, final int number) throws IOException {
        final InputStream input = from.getInputStream();
        final OutputStream output = to.getOutputStream();
        final byte[] buffer = new byte[1024];
        for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
            if (number >= silentConnections) {
                output.write(buffer, 0, length);
            }
        }
        to.close();
    }

    private static void thread(final Work work) {
        final Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (final IOException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Work that ends when a socket is closed. */
    private interface Work {
        void run() throws IOException;
    }
}
