import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A kept connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private boolean unanswered;

    Client(final Vm vm, final int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(vm.host, vm.callerPort), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = socket.getInputStream();
    }

    void send(final String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(final byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads the answer to a request with the given method. */
    Answer read(final String method) throws IOException {
        final Answer answer = new Answer();
        unanswered = true;
        answer.statusLine = line();
        unanswered = answer.statusLine == null;
        if (answer.statusLine == null) {
            throw new IOException("closed without an answer");
        }
        if (!answer.statusLine.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            answer.garbage = true;
            return answer;
        }
        String header = line();
        while (header != null && !header.isEmpty()) {
            final int colon = header.indexOf(':');
            answer.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
            header = line();
        }
        final String length = answer.headers.get("content-length");
        if (method.equals("HEAD") || answer.status() == 204 || answer.status() == 304) {
            return answer;
        }
        if (length != null) {
            answer.body = new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.UTF_8);
        } else if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
            answer.body = chunks();
        } else {
            answer.body = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        return answer;
    }

    /** Returns whether no byte of the answer that was read last has arrived. */
    boolean unanswered() {
        return unanswered;
    }

    private String chunks() throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            final String head = line();
            if (head == null) {
                throw new IOException("closed inside the answer");
            }
            final int size = Integer.parseInt(head.trim(), 16);
            bytes.writeBytes(in.readNBytes(size));
            line();
            if (size == 0) {
                return bytes.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private String line() throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = in.read();
        }
        if (next < 0 && bytes.size() == 0) {
            return null;
        }
        final String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** An answer as it arrived. */
    static final class Answer {
        String statusLine;
        boolean garbage;
        final Map<String, String> headers = new LinkedHashMap<>();
        String body = "";

        int status() {
            return garbage ? -1 : Integer.parseInt(statusLine.substring(9, 12));
        }
    }
}
