package org.balsambank.standin.experiment;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.balsambank.standin.client.EngineTiming;
import org.balsambank.standin.client.TokenListener;

/**
 * Collects the transit times of requests and tokens, excluding the processing time of the engine.
 *
 * <p>Thread-safe.
 */
final class RelayLatencies {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final int DIGITS = 3;

    private final Histogram firstToken = new ConcurrentHistogram(DIGITS);
    private final Histogram betweenTokens = new ConcurrentHistogram(DIGITS);

    /**
     * Returns a listener for one call.
     *
     * @param sentNanos when the call was sent, by {@link System#nanoTime()}
     * @return the listener
     */
    TokenListener listener(final long sentNanos) {
        return new CallListener(sentNanos);
    }

    /**
     * Returns the number of received tokens.
     *
     * @return the number of tokens of all answers
     */
    long tokens() {
        return betweenTokens.getTotalCount() + firstToken.getTotalCount();
    }

    /**
     * Returns the transit time of a request plus that of its first token.
     *
     * @param percentile the percentile
     * @return microseconds
     */
    double firstTokenMicros(final double percentile) {
        return firstToken.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
    }

    /**
     * Returns the growth of the time between two tokens in transit; a decrease counts as zero.
     *
     * @param percentile the percentile
     * @return microseconds
     */
    double betweenTokensMicros(final double percentile) {
        return betweenTokens.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
    }

    /** Listens to one answer. Confined to one event loop. */
    private final class CallListener implements TokenListener {
        private final long sentNanos;

        private long lastReceived;
        private long lastWritten;

        private CallListener(final long sentNanos) {
            this.sentNanos = sentNanos;
        }

        @Override
        public void token(final long receivedNanos, final EngineTiming timing) {
            if (lastReceived == 0) {
                final long requestTransit = timing.requestNanos() - sentNanos;
                final long tokenTransit = receivedNanos - timing.tokenNanos();
                firstToken.recordValue(Math.max(0, requestTransit + tokenTransit));
            } else {
                final long growth = receivedNanos - lastReceived - (timing.tokenNanos() - lastWritten);
                betweenTokens.recordValue(Math.max(0, growth));
            }
            lastReceived = receivedNanos;
            lastWritten = timing.tokenNanos();
        }
    }
}
