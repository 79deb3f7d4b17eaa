package org.balsambank.core.serving.poison;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.time.TimerService;

/**
 * Decides when a refused request may run once more, so that a wrong verdict ends.
 *
 * <p>The VMs try in turn, as each hears of the trials of the others. A trial that crashes its target, or whose outcome
 * stays unknown, defers the next one; after {@value #MAX_CRASHES} that crashed their targets the verdict stands until
 * its evidence expires. What was learned from the store or from a full report has an unknown past and counts as one.
 *
 * <p>Invariant: at most {@value #MAX_REQUESTS} requests are tracked, those that crashed targets or were tried last.
 * Confined to the decision loop.
 */
final class RequestTrials {
    private static final int MAX_REQUESTS = 10_000;
    private static final int MAX_CRASHES = 3;
    private static final List<Duration> DELAYS =
            List.of(Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMinutes(10));
    /** More than a report takes to reach all VMs. */
    private static final Duration DELAY_PER_RANK = Duration.ofMillis(700);
    /** Less than lies between two trials; more than a report takes to come again on another way. */
    private static final Duration REPEATED_REPORT = Duration.ofSeconds(1);
    /** Crashes at shorter intervals are those of requests that were under way at the same time. */
    private static final Duration SAME_TIME = Duration.ofMillis(1_500);

    private final TimerService timer;
    private final Map<Fingerprint, State> states = new LinkedHashMap<>();

    /**
     * Creates an instance without requests.
     *
     * @param timer the timer service
     */
    RequestTrials(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
    }

    /** Returns whether the past of a request is known. */
    boolean known(final Fingerprint fingerprint) {
        return states.containsKey(fingerprint);
    }

    /** Records that a request has crashed a target just now. */
    void crashed(final Fingerprint fingerprint) {
        final State state = states.get(fingerprint);
        if (state == null) {
            put(fingerprint, 0);
            return;
        }
        if (state.running || sinceLast(state).compareTo(SAME_TIME) >= 0) {
            state.crashes++;
        }
        state.running = false;
        state.lastNanos = timer.nanoTime();
    }

    /**
     * Returns whether a trial is due.
     *
     * @param fingerprint the request
     * @param rank the number of VMs whose turn comes before that of this VM
     * @return true if the request may run once
     */
    boolean due(final Fingerprint fingerprint, final int rank) {
        final State state = states.get(fingerprint);
        if (state == null) {
            put(fingerprint, 1);
            return false;
        }
        final int failures = state.crashes + state.unknown + (state.running ? 1 : 0);
        final Duration delay = DELAYS.get(Math.min(failures, DELAYS.size() - 1));
        return state.crashes < MAX_CRASHES
                && sinceLast(state).compareTo(delay.plus(DELAY_PER_RANK.multipliedBy(rank))) >= 0;
    }

    /** Records that this VM reserves a trial for a request that it is about to send. */
    void reserved(final Fingerprint fingerprint) {
        settle(fingerprint);
    }

    /** Records that this VM has sent a trial. */
    void sent(final Fingerprint fingerprint) {
        settle(fingerprint).running = true;
    }

    /**
     * Records that another VM has sent a trial.
     *
     * @param fingerprint the request
     * @return false if this is only repeated
     */
    boolean sentElsewhere(final Fingerprint fingerprint) {
        final State state = states.get(fingerprint);
        if (state != null && sinceLast(state).compareTo(REPEATED_REPORT) < 0) {
            return false;
        }
        sent(fingerprint);
        return true;
    }

    /** Records that the trial has not crashed its target, though it has brought no response either. */
    void survived(final Fingerprint fingerprint) {
        final State state = states.get(fingerprint);
        if (state != null) {
            state.running = false;
        }
    }

    /** Forgets a request, as a target has responded to it. */
    void forget(final Fingerprint fingerprint) {
        states.remove(fingerprint);
    }

    private State settle(final Fingerprint fingerprint) {
        final State state = known(fingerprint) ? states.get(fingerprint) : put(fingerprint, 1);
        if (state.running) {
            state.unknown++;
            state.running = false;
        }
        state.lastNanos = timer.nanoTime();
        return state;
    }

    private State put(final Fingerprint fingerprint, final int crashes) {
        if (states.size() >= MAX_REQUESTS) {
            states.remove(states.keySet().iterator().next());
        }
        final State state = new State(crashes, timer.nanoTime());
        states.put(fingerprint, state);
        return state;
    }

    private Duration sinceLast(final State state) {
        return Duration.ofNanos(timer.nanoTime() - state.lastNanos);
    }

    /** The past of one request. Confined to the decision loop. */
    private static final class State {
        /** The trials that crashed their targets. */
        private int crashes;
        /** The trials of which nothing was heard. */
        private int unknown;

        private long lastNanos;
        private boolean running;

        private State(final int crashes, final long lastNanos) {
            this.crashes = crashes;
            this.lastNanos = lastNanos;
        }
    }
}
