import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of the platform: serves one request at a time on a connection and announces itself in the store. */
class Runner {
    private static final long BEAT_MILLIS = 1_200;

    final String id;
    private final Store store;
    private final String service;
    private final String zone;
    private final String host;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket listener;
    private volatile boolean up;
    private volatile long born = System.currentTimeMillis();
    private long beats;

    Runner(
            final String id,
            final Store store,
            final String service,
            final String zone,
            final String host,
            final Handler handler)
            throws IOException {
        this.id = id;
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.handler = handler;
        try (ServerSocket probe = new ServerSocket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            port = probe.getLocalPort();
        }
        start();
        final Thread beat = new Thread(this::beat);
        beat.setDaemon(true);
        beat.start();
    }

    /** Starts to listen and announces itself. */
    final void start() throws IOException {
        final ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        listener = opened;
        up = true;
        born = System.currentTimeMillis();
        daemon(() -> accept(opened));
        announce();
    }

    /** Crashes: all connections are reset and the port is closed; the entry stays until it lapses or is replaced. */
    final void crash() {
        up = false;
        try {
            listener.close();
        } catch (final IOException e) {
            // Closed.
        }
        for (final Socket socket : open) {
            reset(socket);
        }
    }

    final boolean up() {
        return up;
    }

    private void beat() {
        while (true) {
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (final InterruptedException e) {
                return;
            }
            if (up) {
                announce();
            }
        }
    }

    final synchronized void announce() {
        beats++;
        store.put("servers/" + id, entry("ready"));
    }

    final String entry(final String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + host + ":" + port + "\",\"Zone\":\"" + zone
                + "\",\"Version\":\"v1\",\"Slots\":" + slots() + ",\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"born\":" + born + extra() + ",\"Sequence\":" + sequence() + "}";
    }

    int slots() {
        return 64;
    }

    String extra() {
        return "";
    }

    long sequence() {
        return beats;
    }

    private void accept(final ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                final Socket socket = opened.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (final IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final InputStream in = socket.getInputStream();
            final OutputStream out = socket.getOutputStream();
            while (up) {
                final Request request = Request.read(in);
                if (request == null) {
                    return;
                }
                request.socket = socket;
                if (!id.equals(request.header("x-expect-instance")) && request.header("x-expect-instance") != null) {
                    out.write(response(request, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", ""));
                    out.flush();
                    continue;
                }
                if (!handler.handle(this, request, out)) {
                    return;
                }
                out.flush();
            }
        } catch (final IOException e) {
            // The caller or this server has ended the connection.
        } finally {
            open.remove(socket);
        }
    }

    static void reset(final Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (final IOException e) {
            // Closed.
        }
    }

    /** Returns a sound and sealed response. */
    static byte[] success(final Request request, final String text) {
        return response(request, "200 OK", "X-Response-Seal: seal." + request.header("x-request-id") + "\r\n", text);
    }

    static byte[] response(final Request request, final String status, final String headers, final String text) {
        final String requestId = request.header("x-request-id");
        final byte[] body = text.getBytes(StandardCharsets.UTF_8);
        final String head = "HTTP/1.1 " + status + "\r\n"
                + (requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n")
                + headers + "Content-Length: " + body.length + "\r\n\r\n";
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        if (!request.method.equals("HEAD")) {
            bytes.writeBytes(body);
        }
        return bytes.toByteArray();
    }

    static void daemon(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers one request; false if the connection must not go on. */
    interface Handler {
        boolean handle(Runner runner, Request request, OutputStream out) throws IOException;
    }

    /** A request as it arrived. */
    static final class Request {
        String method;
        String uri;
        Socket socket;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(final String name) {
            return headers.get(name);
        }

        static Request read(final InputStream in) throws IOException {
            final String line = line(in);
            if (line == null) {
                return null;
            }
            final Request request = new Request();
            final int first = line.indexOf(' ');
            final int last = line.lastIndexOf(' ');
            request.method = line.substring(0, first);
            request.uri = line.substring(first + 1, last);
            String header = line(in);
            while (header != null && !header.isEmpty()) {
                final int colon = header.indexOf(':');
                request.headers.put(
                        header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).trim());
                header = line(in);
            }
            final String length = request.header("content-length");
            if (length != null) {
                request.body = in.readNBytes(Integer.parseInt(length));
            }
            return request;
        }

        private static String line(final InputStream in) throws IOException {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int next = in.read();
            while (next >= 0 && next != '\n') {
                bytes.write(next);
                next = in.read();
            }
            if (next < 0) {
                return null;
            }
            final String text = bytes.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
    }
}
