import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from sockets. */
final class Http {
    /** A message; complete is false if its connection ended first. */
    record Message(String start, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static Message get(final String host, final int port, final String path, final int millis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), millis);
            socket.setSoTimeout(millis);
            send(socket, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return read(socket.getInputStream());
        }
    }

    static void send(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads one message; throws EOFException if the connection ends before its head is whole. */
    static Message read(final InputStream in) throws IOException {
        return readBody(in, readHead(in));
    }

    /** Reads the head of a message. */
    static Message readHead(final InputStream in) throws IOException {
        final String start = line(in);
        final Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0], false);
    }

    /** Reads the body that follows a head. */
    static Message readBody(final InputStream in, final Message head) throws IOException {
        final Map<String, String> headers = head.headers();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int size = Integer.parseInt(line(in).trim(), 16);
                        size > 0;
                        size = Integer.parseInt(line(in).trim(), 16)) {
                    copy(in, body, size);
                    line(in);
                }
                line(in);
            } else if (headers.containsKey("content-length")) {
                copy(in, body, Integer.parseInt(headers.get("content-length")));
            }
        } catch (final IOException e) {
            complete = false;
        }
        return new Message(head.start(), headers, body.toByteArray(), complete);
    }

    private static void copy(final InputStream in, final ByteArrayOutputStream body, final int size)
            throws IOException {
        final byte[] bytes = in.readNBytes(size);
        body.write(bytes);
        if (bytes.length < size) {
            throw new EOFException("the body ends early");
        }
    }

    private static String line(final InputStream in) throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                throw new EOFException("the connection ended");
            }
            if (each != '\r') {
                line.append((char) each);
            }
        }
        return line.toString();
    }
}
