package org.balsambank.core.serving.poison;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.time.TimerService;

/**
 * Decides when and at which VM a refused request may run once more, so that a wrong verdict ends.
 *
 * <p>A VM that gets a request whose trial is due claims the trial and tells the others. The claim of the VM that comes
 * first for the request wins; it may be used after {@link #CLAIM_WAIT}. A trial that crashes its target, or whose
 * outcome stays unknown, defers the next one; after {@value #MAX_CRASHES} that crashed their targets the verdict stands
 * until its evidence expires. What was learned from the store or from a full report has an unknown past and counts as
 * one of them.
 *
 * <p>Invariant: at most {@value #MAX_REQUESTS} requests are tracked, those that crashed targets or were tried last.
 * Confined to the decision loop.
 */
final class RequestTrials {
    /** More than the claims of all VMs take to reach each other. */
    static final Duration CLAIM_WAIT = Duration.ofMillis(1_200);

    private static final int MAX_REQUESTS = 10_000;
    private static final int MAX_CRASHES = 3;
    private static final List<Duration> DELAYS =
            List.of(Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMinutes(10));
    /** How long the VM that has claimed a trial may wait for a request. */
    private static final Duration CLAIM_USABLE = Duration.ofSeconds(5);
    /** How long the other VMs respect a claim: longer than it can be used. */
    private static final Duration CLAIM_RESPECTED = Duration.ofSeconds(7);
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
        if (state.running || since(state.lastNanos).compareTo(SAME_TIME) >= 0) {
            state.crashes++;
        }
        state.running = false;
        state.lastNanos = timer.nanoTime();
    }

    /**
     * Claims the next trial for this VM.
     *
     * @param fingerprint the request
     * @param rank the number of VMs that come before this one for the request
     * @return true if a trial is due and nobody has claimed it; the other VMs must be told
     */
    boolean claim(final Fingerprint fingerprint, final int rank) {
        if (!due(fingerprint) || states.get(fingerprint).claim != null) {
            return false;
        }
        states.get(fingerprint).claim = new Claim(rank, true, timer.nanoTime());
        return true;
    }

    /**
     * Records that another VM has claimed the next trial.
     *
     * @param fingerprint the request
     * @param rank the number of VMs that come before that one for the request
     * @return false if this is only repeated, or loses to another claim
     */
    boolean claimedElsewhere(final Fingerprint fingerprint, final int rank) {
        final State state = known(fingerprint) ? states.get(fingerprint) : put(fingerprint, 1);
        dropOldClaim(state);
        if (state.claim != null && state.claim.rank <= rank) {
            return false;
        }
        state.claim = new Claim(rank, false, timer.nanoTime());
        return true;
    }

    /** Returns whether the claim of this VM has won, so that a request may be sent. */
    boolean won(final Fingerprint fingerprint) {
        if (!due(fingerprint)) {
            return false;
        }
        final Claim claim = states.get(fingerprint).claim;
        return claim != null && claim.own && since(claim.nanos).compareTo(CLAIM_WAIT) >= 0;
    }

    private boolean due(final Fingerprint fingerprint) {
        final State state = states.get(fingerprint);
        if (state == null) {
            put(fingerprint, 1);
            return false;
        }
        dropOldClaim(state);
        final int failures = state.crashes + state.unknown + (state.running ? 1 : 0);
        final Duration delay = DELAYS.get(Math.min(failures, DELAYS.size() - 1));
        return state.crashes < MAX_CRASHES && since(state.lastNanos).compareTo(delay) >= 0;
    }

    private void dropOldClaim(final State state) {
        if (state.claim != null
                && since(state.claim.nanos).compareTo(state.claim.own ? CLAIM_USABLE : CLAIM_RESPECTED) >= 0) {
            state.claim = null;
        }
    }

    /** Records that this VM uses its claim for a request that it is about to send. */
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
        if (state != null && since(state.lastNanos).compareTo(REPEATED_REPORT) < 0) {
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
        state.claim = null;
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

    private Duration since(final long nanos) {
        return Duration.ofNanos(timer.nanoTime() - nanos);
    }

    /** A claim of the next trial. Immutable and thread-safe. */
    private record Claim(int rank, boolean own, long nanos) {}

    /** The past of one request. Confined to the decision loop. */
    private static final class State {
        /** The trials that crashed their targets. */
        private int crashes;
        /** The trials of which nothing was heard. */
        private int unknown;

        private long lastNanos;
        private boolean running;
        private Claim claim;

        private State(final int crashes, final long lastNanos) {
            this.crashes = crashes;
            this.lastNanos = lastNanos;
        }
    }
}
