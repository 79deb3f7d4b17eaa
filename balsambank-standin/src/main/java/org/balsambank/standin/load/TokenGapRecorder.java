package org.balsambank.standin.load;

import org.HdrHistogram.Recorder;
import org.balsambank.standin.client.EngineTiming;
import org.balsambank.standin.client.TokenListener;

/**
 * Records the times between the tokens of one response.
 *
 * <p>Confined to one event loop; the underlying recorder is shared.
 */
final class TokenGapRecorder implements TokenListener {
    private final Recorder gaps;

    private long lastNanos;

    /**
     * Creates a recorder for one response.
     *
     * @param gaps receives the times in nanoseconds
     */
    TokenGapRecorder(final Recorder gaps) {
        this.gaps = gaps;
    }

    @Override
    public void token(final long receivedNanos, final EngineTiming timing) {
        if (lastNanos != 0) {
            gaps.recordValue(receivedNanos - lastNanos);
        }
        lastNanos = receivedNanos;
    }
}
