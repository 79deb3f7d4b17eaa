package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.time.TimerService;

/**
 * The share of each adapter in the prompt tokens that this VM has sent to one service lately.
 *
 * <p>Callers reach all VMs alike, so the share on this VM is an estimate of that of the fleet that needs no messages.
 * Confined to the decision loop.
 */
final class AdapterShares {
    private static final long DECAY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    /** Requests count for some 15 s, so that a VM with three requests a second sees some 45. */
    private static final double DECAY = 0.935;

    private static final double FORGOTTEN = 0.05;

    private final TimerService timer;
    private final Map<AdapterKey, Sum> sums = new HashMap<>();
    private double totalTokens;
    private long decayedNanos;

    /**
     * Creates an instance without requests.
     *
     * @param timer the timer service
     */
    AdapterShares(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
        decayedNanos = timer.nanoTime();
    }

    /**
     * Records a request.
     *
     * @param adapter the adapter that it names
     * @param tokens its prompt tokens
     */
    void record(final AdapterKey adapter, final long tokens) {
        decay();
        final Sum sum = sums.computeIfAbsent(adapter, ignored -> new Sum());
        sum.requests++;
        sum.tokens += Math.max(1, tokens);
        totalTokens += Math.max(1, tokens);
    }

    /**
     * Returns at how many targets an adapter should be resident, so that its requests find as much capacity as those of
     * the others.
     *
     * @param adapter the adapter
     * @param targets the number of targets
     * @return at least 1, at most the number of targets
     */
    int homes(final AdapterKey adapter, final int targets) {
        final Sum sum = sums.get(adapter);
        if (sum == null || totalTokens <= 0) {
            return 1;
        }
        // Few requests say little: the standard deviation of their number is subtracted.
        final double certain = Math.max(0, 1 - 1 / Math.sqrt(sum.requests));
        final double share = certain * sum.tokens / totalTokens;
        return Math.max(1, Math.min(targets, 1 + (int) (share * targets)));
    }

    private void decay() {
        final long now = timer.nanoTime();
        final long intervals = Math.min(200, (now - decayedNanos) / DECAY_INTERVAL_NANOS);
        if (intervals <= 0) {
            return;
        }
        decayedNanos = now;
        final double factor = Math.pow(DECAY, intervals);
        totalTokens = 0;
        sums.values().removeIf(each -> each.requests * factor < FORGOTTEN);
        for (final Sum each : sums.values()) {
            each.requests *= factor;
            each.tokens *= factor;
            totalTokens += each.tokens;
        }
    }

    /** The requests for one adapter. */
    private static final class Sum {
        private double requests;
        private double tokens;
    }
}
