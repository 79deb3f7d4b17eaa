package org.balsambank.gateway.log;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.balsambank.core.log.DecisionLog;

/**
 * Passes the lines of libraries and of the other parts to the log of decisions.
 *
 * <p>Thread-safe.
 */
public final class LoggingBridge extends Handler {
    private final DecisionLog log;

    private LoggingBridge(final DecisionLog log) {
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Replaces the handlers of the process.
     *
     * @param log takes the lines
     */
    public static void install(final DecisionLog log) {
        final Logger root = Logger.getLogger("");
        for (final Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.addHandler(new LoggingBridge(log));
    }

    @Override
    public void publish(final LogRecord line) {
        if (line.getLevel().intValue() < Level.INFO.intValue()) {
            return;
        }
        final Throwable thrown = line.getThrown();
        log.line("message")
                .with("level", line.getLevel().getName())
                .with("logger", String.valueOf(line.getLoggerName()))
                .with("text", String.valueOf(line.getMessage()))
                .with("error", thrown == null ? "" : thrown.toString())
                .write();
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
