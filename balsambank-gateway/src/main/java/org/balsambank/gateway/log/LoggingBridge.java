package org.balsambank.gateway.log;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.balsambank.core.log.DecisionLog;

/**
 * Forwards {@code java.util.logging} records of level INFO and above to the decision log.
 *
 * <p>Thread-safe.
 */
public final class LoggingBridge extends Handler {
    private final DecisionLog log;

    private LoggingBridge(final DecisionLog log) {
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Replaces the handlers of the root logger by a bridge.
     *
     * @param log the decision log
     */
    public static void install(final DecisionLog log) {
        final Logger root = Logger.getLogger("");
        for (final Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LoggingBridge(log));
    }

    @Override
    public void publish(final LogRecord record) {
        if (record.getLevel().intValue() < Level.INFO.intValue()) {
            return;
        }
        final Throwable thrown = record.getThrown();
        log.line("message")
                .with("level", record.getLevel().getName())
                .with("logger", String.valueOf(record.getLoggerName()))
                .with("text", String.valueOf(record.getMessage()))
                .with("error", thrown == null ? "" : thrown.toString())
                .write();
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
