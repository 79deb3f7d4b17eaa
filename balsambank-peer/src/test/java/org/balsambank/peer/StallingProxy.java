package org.balsambank.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy that can drop all bytes of its connections while it keeps them open. Thread-safe. */
final class StallingProxy implements AutoCloseable {
    private final ServerSocket server;
    private final int targetPort;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile int stalledConnections;

    StallingProxy(final int targetPort) throws IOException {
        this.targetPort = targetPort;
        server = new ServerSocket(0, 0, InetAddress.getByName(PeerFixture.HOST));
        startThread(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void stall() {
        stalledConnections = sockets.size();
    }

    void closeConnections() throws IOException {
        for (final Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }

    private void accept() throws IOException {
        while (true) {
            final Socket client = server.accept();
            final Socket target = new Socket(server.getInetAddress(), targetPort);
            final int number = sockets.size();
            sockets.add(client);
            sockets.add(target);
            startThread(() -> forward(client, target, number));
            startThread(() -> forward(target, client, number));
        }
    }

    private void forward(final Socket from, final Socket to, final int number) throws IOException {
        final InputStream input = from.getInputStream();
        final OutputStream output = to.getOutputStream();
        final byte[] buffer = new byte[1024];
        for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
            if (number >= stalledConnections) {
                output.write(buffer, 0, length);
            }
        }
        to.close();
    }

    private static void startThread(final IoLoop loop) {
        final Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (final IOException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** An I/O loop that ends when its socket is closed. */
    private interface IoLoop {
        void run() throws IOException;
    }
}
