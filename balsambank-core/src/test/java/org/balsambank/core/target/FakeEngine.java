package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.TimerService;

/** A simulated model engine in virtual time that records violations of its constraints. Confined to one thread. */
final class FakeEngine {
    Duration reportLag = Duration.ofSeconds(1);
    Duration commandDelay = Duration.ofMillis(2);
    Duration loadTime = Duration.ofMillis(250);
    Duration runTime = Duration.ofMillis(400);
    int coldLimit = Integer.MAX_VALUE;
    boolean reachable = true;
    boolean failsLoads;
    final Set<Fingerprint> poisonFingerprints = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    final Map<AdapterRef, Integer> loadCommands = new HashMap<>();
    int runs;
    int maxRunning;
    int crashes;
    int evictions;

    private final Target target;
    private final TimerService timers;
    private final Map<AdapterRef, Integer> loaded = new HashMap<>();
    private final Set<AdapterRef> loading = new HashSet<>();
    private final Set<SingleSubject<TargetOutcome>> openResponses = new HashSet<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private Epoch highestEpoch = new Epoch(0);
    private int boots = 1;
    private int running;
    private int completed;

    FakeEngine(final Target target, final TimerService timers) {
        this.target = target;
        this.timers = timers;
    }

    /** Restarts without adapters, as after a crash. */
    void restart() {
        boots++;
        loaded.clear();
        loading.clear();
        running = 0;
        completed = 0;
        history.clear();
        for (final SingleSubject<TargetOutcome> response : List.copyOf(openResponses)) {
            response.onSuccess(TargetOutcome.LOST);
        }
        openResponses.clear();
    }

    /** Drops all idle adapters without a restart. */
    void dropIdleAdapters() {
        loaded.values().removeIf(count -> count == 0);
        recordSnapshot();
    }

    Set<AdapterRef> loaded() {
        return Set.copyOf(loaded.keySet());
    }

    int running() {
        return running;
    }

    Single<TargetOutcome> run(final Epoch epoch, final AdapterRef adapter, final Fingerprint fingerprint) {
        return Single.defer(() -> {
            if (!reachable) {
                return Single.just(TargetOutcome.NOT_SENT);
            }
            if (staleEpoch(epoch) || adapter != null && !loaded.containsKey(adapter)) {
                return Single.just(TargetOutcome.REFUSED);
            }
            return start(adapter, fingerprint);
        });
    }

    Single<TargetReport> report() {
        return Single.defer(() -> {
            if (!reachable) {
                return Single.error(new TargetException(Reason.NOT_SENT, "unreachable"));
            }
            final long until = timers.nanoTime() - reportLag.toNanos();
            while (history.size() > 1 && secondSnapshot().nanos <= until) {
                history.removeFirst();
            }
            final Snapshot snapshot = history.isEmpty() || history.peekFirst().nanos > until
                    ? new Snapshot(until, 0, Map.of())
                    : history.peekFirst();
            return Single.just(new TargetReport(boot(), snapshot.running, 0, snapshot.adapters));
        });
    }

    BootId boot() {
        return new BootId(target.id() + "-" + boots);
    }

    /** Loads an adapter, also if the sender of the command has timed out. */
    Completable load(final Epoch epoch, final AdapterRef adapter) {
        return Completable.defer(() -> {
            final CompletableSubject done = CompletableSubject.create();
            timers.after(commandDelay)
                    .andThen(Completable.defer(() -> loadNow(epoch, adapter)))
                    .subscribe(done);
            return done;
        });
    }

    /** Evicts an adapter, also if the sender of the command has timed out. */
    Completable evict(final Epoch epoch, final AdapterRef adapter) {
        return Completable.defer(() -> {
            final CompletableSubject done = CompletableSubject.create();
            timers.after(commandDelay)
                    .andThen(Completable.defer(() -> evictNow(epoch, adapter)))
                    .subscribe(done);
            return done;
        });
    }

    private Completable loadNow(final Epoch epoch, final AdapterRef adapter) {
        loadCommands.merge(adapter, 1, Integer::sum);
        if (!reachable) {
            return Completable.error(new TargetException(Reason.LOST, "unreachable"));
        }
        if (staleEpoch(epoch)) {
            return Completable.error(new TargetException(Reason.FENCED, "stale fencing number"));
        }
        if (loading.contains(adapter)) {
            recordViolation("second load of " + adapter);
        }
        if (failsLoads || loaded.size() + loading.size() >= target.adapterSlots()) {
            return Completable.error(new TargetException(Reason.REFUSED, "load failed"));
        }
        loading.add(adapter);
        final int boot = boots;
        return timers.after(loadTime).andThen(Completable.defer(() -> finishLoad(adapter, boot)));
    }

    private Completable evictNow(final Epoch epoch, final AdapterRef adapter) {
        if (staleEpoch(epoch)) {
            return Completable.error(new TargetException(Reason.FENCED, "stale fencing number"));
        }
        if (loaded.getOrDefault(adapter, 0) > 0) {
            recordViolation("evicted in use: " + adapter);
        }
        loaded.remove(adapter);
        evictions++;
        recordSnapshot();
        return Completable.complete();
    }

    private Completable finishLoad(final AdapterRef adapter, final int boot) {
        if (boot != boots) {
            return Completable.error(new TargetException(Reason.LOST, "restarted"));
        }
        loading.remove(adapter);
        loaded.put(adapter, 0);
        recordSnapshot();
        return Completable.complete();
    }

    private Single<TargetOutcome> start(final AdapterRef adapter, final Fingerprint fingerprint) {
        runs++;
        changeRunning(adapter, 1);
        maxRunning = Math.max(maxRunning, running);
        if (running > target.concurrency()) {
            recordViolation("over concurrency: " + running);
        }
        if (running > (long) coldLimit + completed) {
            recordViolation("over the cold limit: " + running + " after " + completed);
        }
        final SingleSubject<TargetOutcome> response = SingleSubject.create();
        openResponses.add(response);
        timers.after(runTime).subscribe(() -> end(response, adapter, fingerprint));
        return response.doOnDispose(() -> {
            if (openResponses.remove(response)) {
                changeRunning(adapter, -1);
            }
        });
    }

    private void end(final SingleSubject<TargetOutcome> response, final AdapterRef adapter, final Fingerprint print) {
        if (!openResponses.contains(response)) {
            return;
        }
        if (poisonFingerprints.contains(print)) {
            crashes++;
            restart();
            return;
        }
        openResponses.remove(response);
        completed++;
        changeRunning(adapter, -1);
        response.onSuccess(TargetOutcome.COMPLETED);
    }

    private void changeRunning(final AdapterRef adapter, final int by) {
        running += by;
        if (adapter != null) {
            loaded.merge(adapter, by, Integer::sum);
        }
        recordSnapshot();
    }

    private boolean staleEpoch(final Epoch epoch) {
        if (!target.fencing()) {
            return false;
        }
        if (epoch.compareTo(highestEpoch) > 0) {
            highestEpoch = epoch;
        }
        return epoch.compareTo(highestEpoch) < 0;
    }

    private void recordSnapshot() {
        history.addLast(new Snapshot(timers.nanoTime(), running, Map.copyOf(loaded)));
    }

    private void recordViolation(final String text) {
        violations.add("at " + Duration.ofNanos(timers.nanoTime()) + " " + text);
    }

    private Snapshot secondSnapshot() {
        final var iterator = history.iterator();
        iterator.next();
        return iterator.next();
    }

    /** The state at a time in the past, from which a lagging report is built. */
    private record Snapshot(long nanos, int running, Map<AdapterRef, Integer> adapters) {}
}
