package org.balsambank.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.balsambank.core.log.DecisionLog;

/**
 * Writes one JSON object a line.
 *
 * <p>Thread-safe. Lines wait in a bounded queue for a thread of their own; a line that finds the queue full is dropped
 * and counted, and the count is written with the next line that fits.
 */
public final class JsonLog implements DecisionLog {
    /** How long lines collect before they are written together. */
    private static final Duration COLLECT = Duration.ofMillis(100);

    private static final int MAX_WAITING = 4_096;
    private static final int LINE_CHARS = 256;

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final LongSupplier wallMillis;

    /**
     * Creates a log whose lines wait until {@link #flush()}.
     *
     * @param out takes the lines
     * @param wallMillis gives the time of day
     */
    public JsonLog(final OutputStream out, final LongSupplier wallMillis) {
        this.out = out;
        this.wallMillis = wallMillis;
    }

    /**
     * Creates a log on standard output and starts its thread.
     *
     * @return the log
     */
    public static JsonLog toStandardOutput() {
        final JsonLog log = new JsonLog(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
        final Thread writer = new Thread(log::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    @Override
    public Line line(final String event) {
        return new JsonLine(event);
    }

    /**
     * Returns the number of lines that were dropped.
     *
     * @return the lines since the start
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes what waits. */
    public void flush() {
        writeAfter(List.of());
    }

    private void writeAll() {
        try {
            while (true) {
                final String first = waiting.take();
                Thread.sleep(COLLECT.toMillis());
                writeAfter(List.of(first));
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAfter(final List<String> taken) {
        synchronized (out) {
            final List<String> lines = new ArrayList<>(taken);
            waiting.drainTo(lines);
            write(lines);
        }
    }

    private void write(final List<String> lines) {
        final StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line).append('\n'));
        try {
            out.write(text.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (final IOException e) {
            dropped.addAndGet(lines.size());
        }
    }

    /** One line. */
    private final class JsonLine implements Line {
        private final StringBuilder text = new StringBuilder(LINE_CHARS);

        JsonLine(final String event) {
            text.append("{\"time_ms\":").append(wallMillis.getAsLong()).append(",\"event\":\"");
            JsonStringEncoder.getInstance().quoteAsString(event, text);
            text.append('"');
        }

        @Override
        public Line with(final String field, final String value) {
            text.append(",\"").append(field).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
            return this;
        }

        @Override
        public Line with(final String field, final long value) {
            text.append(",\"").append(field).append("\":").append(value);
            return this;
        }

        @Override
        public void write() {
            final long lost = dropped.get();
            if (lost > 0) {
                with("dropped_lines", lost);
            }
            if (!waiting.offer(text.append('}').toString())) {
                dropped.incrementAndGet();
            }
        }
    }
}
