package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.request.AttemptEnd;

/**
 * Plain targets that respond to all attempts of a fleet in virtual time, lose some responses while they live on, stop
 * in turn, are cut off in turn, and crash on some requests.
 *
 * <p>Confined to one thread.
 */
final class FaultyTargets {
    private static final long STEP_MILLIS = 10;
    private static final long RESPONSE_MILLIS = 200;
    private static final long DOWN_MILLIS = 3_000;
    private static final long CUT_MILLIS = 2_000;
    private static final long TURN_MILLIS = 2_500;
    private static final long SIGNAL_MILLIS = 400;
    private static final double LOST_SHARE = 0.25;

    /** The times at which targets crashed on a request, in milliseconds since the start. */
    final List<Long> crashMillis = new ArrayList<>();
    /** The times at which requests that crash targets reached one, in milliseconds since the start. */
    final List<Long> deadlyMillis = new ArrayList<>();

    private final TestFleet fleet;
    private final int count;
    private final Random random;
    private final Set<Fingerprint> deadly = new HashSet<>();
    private final List<Run> runs = new ArrayList<>();
    private final Map<TargetId, Long> downUntilMillis = new HashMap<>();
    private final Map<TargetId, Long> cutUntilMillis = new HashMap<>();
    private final Map<TargetId, Integer> boots = new HashMap<>();
    private Trouble trouble = Trouble.NONE;
    private int attemptsSeen;
    private int turn;
    private long nextTurnMillis;
    private long nowMillis;

    FaultyTargets(final TestFleet fleet, final int count, final Random random) {
        this.fleet = fleet;
        this.count = count;
        this.random = random;
        for (int target = 0; target < count; target++) {
            fleet.announce(fleet.plainTarget(target, false));
        }
        attemptsSeen = fleet.attempts.size();
    }

    long nowMillis() {
        return nowMillis;
    }

    void begin(final Trouble next) {
        trouble = next;
        nextTurnMillis = nowMillis + STEP_MILLIS;
    }

    /** Lets each target crash that begins to run a request. */
    void crashOn(final Fingerprint fingerprint) {
        deadly.add(fingerprint);
    }

    /** Lets targets respond to all requests from now on. */
    void mend() {
        deadly.clear();
    }

    /** Lets time pass, at least one step. */
    void run(final long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            fleet.advance(STEP_MILLIS);
            acceptAttempts();
            List.copyOf(runs).forEach(this::proceed);
            takeTurn();
            restart();
        }
    }

    private void acceptAttempts() {
        while (attemptsSeen < fleet.attempts.size()) {
            final FakeAttempt attempt = fleet.attempts.get(attemptsSeen++);
            if (attempt.cancelled) {
                continue;
            }
            if (downUntilMillis.containsKey(attempt.target()) || cutUntilMillis.containsKey(attempt.target())) {
                attempt.end(AttemptEnd.NOT_SENT);
                continue;
            }
            runs.add(new Run(attempt, nowMillis));
            if (deadly.contains(attempt.fingerprint)) {
                deadlyMillis.add(nowMillis);
            }
        }
    }

    private void proceed(final Run run) {
        if (!runs.contains(run) || nowMillis - run.sentMillis < RESPONSE_MILLIS) {
            return;
        }
        runs.remove(run);
        if (run.attempt.cancelled) {
            return;
        }
        if (deadly.contains(run.attempt.fingerprint)) {
            crashMillis.add(nowMillis);
            runs.add(run);
            stop(run.attempt.target());
        } else if (trouble.finding == null || random.nextDouble() >= LOST_SHARE) {
            run.attempt.respond(200, false);
        } else {
            run.attempt.endInDoubt(
                    AttemptEnd.LOST,
                    trouble == Trouble.GARBLE
                            ? Single.just(trouble.finding)
                            : later(run.attempt, SIGNAL_MILLIS, trouble.finding));
        }
    }

    private Single<LossFinding> later(final FakeAttempt attempt, final long millis, final LossFinding finding) {
        return fleet.vms
                .get(attempt.from)
                .loop
                .timer()
                .after(Duration.ofMillis(millis))
                .toSingleDefault(finding);
    }

    private void takeTurn() {
        if (nowMillis < nextTurnMillis || trouble != Trouble.STOP && trouble != Trouble.CUT) {
            return;
        }
        nextTurnMillis = nowMillis + TURN_MILLIS;
        final TargetId target = new TargetId("p" + turn++ % count);
        if (trouble == Trouble.STOP) {
            stop(target);
        } else {
            cutUntilMillis.put(target, nowMillis + CUT_MILLIS);
            loseAll(target);
        }
    }

    private void stop(final TargetId target) {
        downUntilMillis.put(target, nowMillis + DOWN_MILLIS);
        loseAll(target);
    }

    private void loseAll(final TargetId target) {
        for (final Run each : List.copyOf(runs)) {
            if (each.attempt.target().equals(target) && runs.remove(each) && !each.attempt.cancelled) {
                if (fleet.vms.containsKey(each.attempt.from)) {
                    each.attempt.endInDoubt(
                            AttemptEnd.LOST, later(each.attempt, STEP_MILLIS, LossFinding.CONNECTION_REFUSED));
                }
            }
        }
    }

    private void restart() {
        cutUntilMillis.values().removeIf(until -> until <= nowMillis);
        final List<TargetId> back = downUntilMillis.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        for (final TargetId target : back) {
            downUntilMillis.remove(target);
            final int boot = boots.merge(target, 1, Integer::sum);
            fleet.announce(fleet.plainTarget(Integer.parseInt(target.value().substring(1)), 1L + boot));
        }
    }

    /** What targets do wrong. */
    enum Trouble {
        /** All is well. */
        NONE(null),
        /** Targets send bytes that are no response. */
        GARBLE(LossFinding.MALFORMED),
        /** Targets end a connection in the middle of a response, and live on. */
        TRUNCATE(LossFinding.CONNECTIONS_OPEN),
        /** Targets reset a connection, and live on. */
        RESET(LossFinding.CONNECTION_ACCEPTED),
        /** Targets stop in turn, and start again. */
        STOP(null),
        /** Targets are cut off in turn: their connections are reset, new ones are refused, and they live on. */
        CUT(null);

        private final LossFinding finding;

        Trouble(final LossFinding finding) {
            this.finding = finding;
        }
    }

    /** One attempt at a target. Confined to one thread. */
    private record Run(FakeAttempt attempt, long sentMillis) {}
}
