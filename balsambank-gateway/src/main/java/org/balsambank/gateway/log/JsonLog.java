package org.balsambank.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.balsambank.core.log.DecisionLog;

/**
 * Writes one JSON object per line.
 *
 * <p>Thread-safe. Lines wait for the writer thread in a queue that is bounded by lines and by bytes, as values come
 * from callers; a long value is cut. A line that finds no room is dropped and counted, and the count is written with
 * the next line that fits. Invariant: lines hold their room until the output has taken them.
 */
public final class JsonLog implements DecisionLog {
    /** How long lines are collected before they are written as one batch. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(100);

    private static final int QUEUE_CAPACITY = 4_096;
    private static final long MAX_QUEUED_BYTES = 4_194_304;
    private static final int MAX_VALUE_CHARS = 512;
    private static final String CUT = "... (%d characters)";
    private static final int LINE_CHARS = 256;

    /** The size up to which Linux writes to a pipe all or nothing (PIPE_BUF), in bytes. */
    private static final int MAX_WRITE_BYTES = 4_096;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final LongSupplier wallMillis;

    /**
     * Creates a log without a writer thread; lines are written by {@link #flush()}.
     *
     * @param out the output stream
     * @param wallMillis the wall clock, in milliseconds since the epoch
     */
    public JsonLog(final OutputStream out, final LongSupplier wallMillis) {
        this.out = out;
        this.wallMillis = wallMillis;
    }

    /**
     * Creates a log on standard output and starts its writer thread.
     *
     * @return the log
     */
    public static JsonLog toStandardOutput() {
        final JsonLog log = new JsonLog(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
        final Thread writer = new Thread(log::runWriter, "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    @Override
    public Line line(final String event) {
        return new JsonLine(event);
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return the number since the start
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes all queued lines. */
    public void flush() {
        writeWithQueued(List.of());
    }

    private void runWriter() {
        try {
            while (true) {
                final String first = queue.take();
                Thread.sleep(BATCH_DELAY.toMillis());
                writeWithQueued(List.of(first));
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeWithQueued(final List<String> firstLines) {
        synchronized (out) {
            final List<String> lines = new ArrayList<>(firstLines);
            queue.drainTo(lines);
            write(lines);
        }
    }

    private void write(final List<String> lines) {
        final ByteArrayOutputStream chunk = new ByteArrayOutputStream(MAX_WRITE_BYTES);
        int chunkLines = 0;
        for (final String line : lines) {
            final byte[] bytes = (line + '\n').getBytes(StandardCharsets.UTF_8);
            if (chunk.size() + bytes.length > MAX_WRITE_BYTES) {
                writeChunk(chunk, chunkLines);
                chunkLines = 0;
            }
            chunk.writeBytes(bytes);
            chunkLines++;
        }
        writeChunk(chunk, chunkLines);
        queuedBytes.addAndGet(-lines.stream().mapToLong(JsonLog::heldBytes).sum());
    }

    /** Returns the most heap that the characters of a line take, in bytes. */
    private static long heldBytes(final String line) {
        return (long) line.length() * Character.BYTES;
    }

    private boolean enqueue(final String line) {
        final long bytes = heldBytes(line);
        if (queuedBytes.addAndGet(bytes) <= MAX_QUEUED_BYTES && queue.offer(line)) {
            return true;
        }
        queuedBytes.addAndGet(-bytes);
        return false;
    }

    private void writeChunk(final ByteArrayOutputStream chunk, final int lines) {
        if (lines == 0) {
            return;
        }
        try {
            out.write(chunk.toByteArray());
            out.flush();
        } catch (final IOException e) {
            dropped.addAndGet(lines);
        }
        chunk.reset();
    }

    /** A line that is being built. */
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
            final boolean cut = value.length() > MAX_VALUE_CHARS;
            JsonStringEncoder.getInstance().quoteAsString(cut ? value.substring(0, MAX_VALUE_CHARS) : value, text);
            if (cut) {
                text.append(String.format(Locale.ROOT, CUT, value.length()));
            }
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
            final long droppedLines = dropped.get();
            if (droppedLines > 0) {
                with("dropped_lines", droppedLines);
            }
            if (!enqueue(text.append('}').toString())) {
                dropped.incrementAndGet();
            }
        }
    }
}
