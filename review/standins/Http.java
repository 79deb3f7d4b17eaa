package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** A message: its first line, headers and body. */
    static final class Message {
        final String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        Message(final String first) {
            this.first = first;
        }

        String header(final String name) {
            for (final String[] each : headers) {
                if (each[0].equalsIgnoreCase(name)) {
                    return each[1];
                }
            }
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        String uri() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads the head of a message; null if the stream ends before its first byte. */
    static Message readHead(final InputStream in) throws IOException {
        final String first = line(in, true);
        if (first == null) {
            return null;
        }
        final Message message = new Message(first);
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            final int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return message;
    }

    /** Reads a whole message; null if the stream ends before its first byte. A body without a length is empty. */
    static Message read(final InputStream in) throws IOException {
        final Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message);
        }
        return message;
    }

    private static byte[] readBody(final InputStream in, final Message head) throws IOException {
        final String length = head.header("Content-Length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
        }
        return body.toByteArray();
    }

    private static int chunkSize(final InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(final InputStream in, final int length) throws IOException {
        final byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String line(final InputStream in, final boolean mayEnd) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (each != '\r') {
                line.write(each);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a message with a length; headers are given as "Name: value". */
    static byte[] message(final String first, final byte[] body, final String... headers) {
        final byte[] head = head(first, body.length, headers);
        final byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Returns the bytes of a head with the length of the body that follows. */
    static byte[] head(final String first, final int bodyLength, final String... headers) {
        final StringBuilder head = new StringBuilder(first).append("\r\n");
        for (final String each : headers) {
            if (!each.isEmpty()) {
                head.append(each).append("\r\n");
            }
        }
        head.append("Content-Length: ").append(bodyLength).append("\r\n\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void send(final OutputStream out, final byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
