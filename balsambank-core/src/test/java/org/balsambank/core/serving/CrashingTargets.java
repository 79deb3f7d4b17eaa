package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.request.AttemptEnd;

/**
 * Targets that respond to all attempts of a fleet in virtual time, and crash when they begin to respond to a prompt
 * with one of some parts. Each is back seconds later.
 *
 * <p>Confined to one thread.
 */
final class CrashingTargets {
    private static final long STEP_MILLIS = 10;
    private static final long CHUNK_MILLIS = 50;
    private static final long DOWN_MILLIS = 3_000;

    /** The times at which targets crashed, in milliseconds since the start. */
    final List<Long> crashMillis = new ArrayList<>();
    /** The times at which attempts with a deadly part were sent, in milliseconds since the start. */
    final List<Long> deadlySendMillis = new ArrayList<>();

    /** How long a request waits at a target before its response begins. */
    long waitMillis = 200;

    private final TestFleet fleet;
    private final Set<PromptPartId> deadly;
    private final List<Run> runs = new ArrayList<>();
    private final Map<TargetId, Long> downUntilMillis = new HashMap<>();
    private final Map<TargetId, Integer> boots = new HashMap<>();
    private int attemptsSeen;
    private long nowMillis;

    CrashingTargets(final TestFleet fleet, final Set<PromptPartId> deadly) {
        this.fleet = fleet;
        this.deadly = new HashSet<>(deadly);
        attemptsSeen = fleet.attempts.size();
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Lets time pass, at least one step. */
    void run(final long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            fleet.advance(STEP_MILLIS);
            acceptAttempts();
            List.copyOf(runs).forEach(this::proceed);
            restart();
        }
    }

    /** Lets targets respond to all parts from now on. */
    void mend() {
        deadly.clear();
    }

    /** Crashes a target without a cause in its requests. */
    void crash(final TargetId target) {
        crashMillis.add(nowMillis);
        downUntilMillis.put(target, nowMillis + DOWN_MILLIS);
        for (final Run each : List.copyOf(runs)) {
            if (each.attempt.target().equals(target) && runs.remove(each) && !each.attempt.cancelled) {
                each.attempt.end(each.stage == 0 ? AttemptEnd.LOST : AttemptEnd.BROKEN);
            }
        }
    }

    private void acceptAttempts() {
        while (attemptsSeen < fleet.attempts.size()) {
            final FakeAttempt attempt = fleet.attempts.get(attemptsSeen++);
            if (downUntilMillis.containsKey(attempt.target())) {
                attempt.end(AttemptEnd.NOT_SENT);
                continue;
            }
            if (isDeadly(attempt)) {
                deadlySendMillis.add(nowMillis);
            }
            runs.add(new Run(attempt, nowMillis));
        }
    }

    private boolean isDeadly(final FakeAttempt attempt) {
        return attempt.parts.stream().anyMatch(deadly::contains);
    }

    private void proceed(final Run run) {
        if (!runs.contains(run)) {
            return;
        }
        if (run.attempt.cancelled) {
            runs.remove(run);
            return;
        }
        final long age = nowMillis - run.sentMillis;
        if (age < waitMillis + run.stage * CHUNK_MILLIS) {
            return;
        }
        switch (run.stage++) {
            case 0 -> run.attempt.sendHead();
            case 1 -> sendFirstChunk(run.attempt);
            case 2 -> run.attempt.sendChunk();
            default -> {
                runs.remove(run);
                run.attempt.end(AttemptEnd.COMPLETE);
            }
        }
    }

    private void sendFirstChunk(final FakeAttempt attempt) {
        if (isDeadly(attempt)) {
            crash(attempt.target());
        } else {
            attempt.sendChunk();
        }
    }

    private void restart() {
        final List<TargetId> back = downUntilMillis.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        for (final TargetId target : back) {
            downUntilMillis.remove(target);
            final int boot = boots.merge(target, 1, Integer::sum);
            fleet.announce(fleet.engineTarget(Integer.parseInt(target.value().substring(1)), 1 + boot, false));
        }
    }

    /** One attempt at a target. Confined to one thread. */
    private static final class Run {
        private final FakeAttempt attempt;
        private final long sentMillis;
        private int stage;

        private Run(final FakeAttempt attempt, final long sentMillis) {
            this.attempt = attempt;
            this.sentMillis = sentMillis;
        }
    }
}
