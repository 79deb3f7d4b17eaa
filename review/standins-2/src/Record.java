import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long beganNanos = System.nanoTime();

    Record(final Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(final String text) {
        final String line = (System.nanoTime() - beganNanos) / 1_000_000 + " ms  " + text;
        out.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
