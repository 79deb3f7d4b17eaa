package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: what was sent, answered and run, one event a line. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(final Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(final String format, final Object... values) {
        final String text = values.length == 0 ? format : String.format(format, values);
        out.printf("%8.3f %s%n", millis() / 1e3, text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
