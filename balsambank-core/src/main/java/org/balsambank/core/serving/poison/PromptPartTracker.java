package org.balsambank.core.serving.poison;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.target.CrashId;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.PartReport;

/**
 * Finds parts of prompts that crash each target which begins to respond to them, whatever else a request holds.
 *
 * <p>Requests that only ran beside the cause are lost in the same crashes, and share parts with it. A part is cleared
 * as soon as any VM sees a response to a request with it. While several parts may be the cause of the same crashes, a
 * request is refused only if all of them are in its prompt; requests with some of them then show which one it is.
 *
 * <p>Invariant: at most {@value #MAX_PARTS} parts are tracked; those that are not suspect make room first. Confined to
 * the decision loop.
 */
public final class PromptPartTracker {
    private static final int MAX_PARTS = 2_000;
    private static final int MAX_PARTS_PER_REQUEST = 32;
    private static final int MIN_CRASHES = 2;
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMinutes(10).toNanos();
    private static final long SUSPECT_RETENTION_NANOS = Duration.ofHours(24).toNanos();

    private final TimerService timer;
    private final Predicate<PromptPartId> grantsTrials;
    private final DecisionLog log;
    private final Map<PromptPartId, TrackedPart> tracked = new LinkedHashMap<>();
    private final Map<CrashId, Set<PromptPartId>> candidatesByCrash = new HashMap<>();
    private final Set<PromptPartId> changed = new HashSet<>();
    private final Set<PromptPartId> observed = new HashSet<>();
    private final PublishSubject<PromptPartTracker> verdicts = PublishSubject.create();
    private boolean verdictsPending;

    /**
     * Creates an instance without evidence.
     *
     * @param timer the timer service
     * @param grantsTrials whether this VM is the one that grants the trials of a part
     * @param log the decision log; gets a line for each crash of a part, for each trial, and for each part that becomes
     *     suspect or clear
     */
    public PromptPartTracker(
            final TimerService timer, final Predicate<PromptPartId> grantsTrials, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.grantsTrials = Objects.requireNonNull(grantsTrials);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Returns the evidence that is known while a request is sent; see {@link #recordLoss}.
     *
     * @param parts the shared parts of its prompt
     * @return the evidence of those parts that have any
     */
    public Evidence evidence(final List<PromptPartId> parts) {
        if (tracked.isEmpty()) {
            return Evidence.EMPTY;
        }
        final Map<PromptPartId, PartEvidence> known = new HashMap<>();
        for (final PromptPartId part : parts) {
            final TrackedPart each = tracked.get(part);
            if (each != null) {
                known.put(part, each.evidence);
            }
        }
        return new Evidence(known);
    }

    /**
     * Records that a target was lost before it had responded to a request.
     *
     * @param parts the shared parts of the prompt
     * @param atSend the evidence that was known when the request was sent
     * @param crash the loss of the target
     * @param begun whether the response had begun
     */
    public void recordLoss(
            final List<PromptPartId> parts, final Evidence atSend, final CrashId crash, final boolean begun) {
        for (final PromptPartId part : parts.subList(0, Math.min(parts.size(), MAX_PARTS_PER_REQUEST))) {
            final PartEvidence before = evidenceOf(part);
            final PartEvidence after = before.withCrash(crash, atSend.of(part), begun);
            if (update(part, before, after)) {
                changed.add(part);
                observed.add(part);
                log.line("part_in_crash")
                        .with("part", part.value())
                        .with("target", crash.target().value())
                        .with("begun", String.valueOf(begun))
                        .with("suspicion", after.suspicion())
                        .write();
            }
        }
    }

    /**
     * Records that a target has responded to a request, which clears the parts of its prompt.
     *
     * @param parts the shared parts of the prompt
     */
    public void recordResponse(final List<PromptPartId> parts) {
        if (tracked.isEmpty()) {
            return;
        }
        for (final PromptPartId part : parts) {
            final PartEvidence before = evidenceOf(part);
            if (before.suspicion() > 0 && update(part, before, before.cleared())) {
                changed.add(part);
            }
        }
    }

    /**
     * Finds a reason to refuse a request.
     *
     * @param parts the shared parts of its prompt
     * @return those of which one crashes targets, empty if the request may be sent
     */
    public List<PromptPartId> findCauses(final List<PromptPartId> parts) {
        if (candidatesByCrash.isEmpty()) {
            return List.of();
        }
        final List<PromptPartId> candidates =
                parts.stream().filter(part -> evidenceOf(part).candidate()).toList();
        final boolean suspect =
                candidates.stream().anyMatch(part -> evidenceOf(part).suspect());
        return suspect && crashesExplainedOnlyBy(Set.copyOf(candidates)) >= MIN_CRASHES ? candidates : List.of();
    }

    /**
     * Returns a signal after each change of a verdict, on the decision loop and never within a call of this tracker.
     *
     * @return emits this tracker; never completes
     */
    public Observable<PromptPartTracker> verdicts() {
        return verdicts;
    }

    private void signalVerdicts() {
        if (verdictsPending || !verdicts.hasObservers()) {
            return;
        }
        verdictsPending = true;
        timer.after(Duration.ZERO).subscribe(() -> {
            verdictsPending = false;
            verdicts.onNext(this);
        });
    }

    private long crashesExplainedOnlyBy(final Set<PromptPartId> candidates) {
        return candidatesByCrash.values().stream()
                .filter(candidates::containsAll)
                .count();
    }

    /**
     * Grants a trial of suspect parts: one request of the fleet may run, ten minutes after the last crash or trial.
     *
     * <p>Its response clears the parts, so that a wrong verdict ends; if it crashes its target, they stay suspect.
     *
     * @param causes the parts, as returned by {@link #findCauses}
     * @return true if the request may be sent all the same
     */
    public boolean grantTrial(final List<PromptPartId> causes) {
        final long now = timer.nanoTime();
        final boolean due =
                causes.stream().allMatch(part -> now - tracked.get(part).touchedNanos >= TRIAL_INTERVAL_NANOS);
        if (causes.isEmpty() || !due || !grantsTrials.test(causes.get(0))) {
            return false;
        }
        for (final PromptPartId part : causes) {
            final TrackedPart known = tracked.get(part);
            tracked.put(part, new TrackedPart(known.evidence, known.changedNanos, now));
            log.line("part_trial").with("part", part.value()).write();
        }
        return true;
    }

    /**
     * Merges the evidence that another VM has reported.
     *
     * @param report the report
     * @return true if it was not known before
     */
    public boolean recordReport(final PartReport report) {
        final PromptPartId part = new PromptPartId(report.getPart());
        final PartEvidence before = evidenceOf(part);
        return update(part, before, before.merge(PartReportCodec.decode(report)));
    }

    /**
     * Returns the report of a part for other VMs.
     *
     * @param part the part
     * @return its evidence, empty if there is none any more
     */
    public Optional<PartReport> report(final PromptPartId part) {
        return Optional.ofNullable(tracked.get(part)).map(each -> PartReportCodec.encode(part, each.evidence));
    }

    /**
     * Returns the parts with evidence.
     *
     * @return all tracked parts
     */
    public Collection<PromptPartId> parts() {
        return List.copyOf(tracked.keySet());
    }

    /**
     * Returns the parts whose evidence was changed by requests of this VM since the last call.
     *
     * @return the parts to report to other VMs
     */
    public Set<PromptPartId> drainChanged() {
        final Set<PromptPartId> drained = Set.copyOf(changed);
        changed.clear();
        return drained;
    }

    /**
     * Returns the parts whose evidence has grown by requests of this VM since the last call, and which decide which
     * requests are refused.
     *
     * @return the parts that this VM saves
     */
    Set<PromptPartId> drainObserved() {
        final Set<PromptPartId> drained = new HashSet<>(observed);
        drained.retainAll(decisiveParts());
        observed.clear();
        return drained;
    }

    /**
     * Returns the parts without which other requests would be refused: the suspects, and the candidates that share a
     * crash with one of them.
     *
     * @return the parts
     */
    Set<PromptPartId> decisiveParts() {
        final Set<PromptPartId> decisive = new HashSet<>();
        for (final Set<PromptPartId> candidates : candidatesByCrash.values()) {
            if (candidates.stream().anyMatch(part -> evidenceOf(part).suspect())) {
                decisive.addAll(candidates);
            }
        }
        return decisive;
    }

    /**
     * Returns the number of parts that are suspected to crash targets.
     *
     * @return the number of suspects
     */
    public int suspects() {
        return (int) tracked.values().stream()
                .filter(each -> each.evidence.suspect())
                .count();
    }

    private PartEvidence evidenceOf(final PromptPartId part) {
        final TrackedPart known = tracked.get(part);
        return known == null ? PartEvidence.NONE : known.evidence;
    }

    private boolean update(final PromptPartId part, final PartEvidence before, final PartEvidence after) {
        if (after.equals(before)) {
            return false;
        }
        tracked.remove(part);
        final long now = timer.nanoTime();
        tracked.put(part, new TrackedPart(after, now, now));
        final boolean dropped = dropOld();
        if (dropped || before.candidate() || after.candidate()) {
            indexCandidates();
            signalVerdicts();
        }
        if (before.suspect() != after.suspect()) {
            log.line(after.suspect() ? "part_suspect" : "part_cleared")
                    .with("part", part.value())
                    .with(
                            "crashes",
                            (after.suspect() ? after : before).crashes().size())
                    .with("epoch", after.epoch())
                    .write();
        }
        return true;
    }

    /** Drops what is outdated, and what exceeds the limit; returns whether a candidate was dropped. */
    private boolean dropOld() {
        final long now = timer.nanoTime();
        boolean candidateDropped = false;
        final Iterator<TrackedPart> eldest = tracked.values().iterator();
        while (eldest.hasNext()) {
            final TrackedPart next = eldest.next();
            final boolean suspect = next.evidence.suspect();
            if (now - next.changedNanos >= (suspect ? SUSPECT_RETENTION_NANOS : RETENTION_NANOS)
                    || !suspect && tracked.size() > MAX_PARTS) {
                eldest.remove();
                candidateDropped |= next.evidence.candidate();
            }
        }
        while (tracked.size() > MAX_PARTS) {
            tracked.remove(tracked.keySet().iterator().next());
            candidateDropped = true;
        }
        return candidateDropped;
    }

    private void indexCandidates() {
        candidatesByCrash.clear();
        tracked.forEach((part, each) -> {
            if (each.evidence.candidate()) {
                each.evidence.crashes().forEach(crash -> candidatesByCrash
                        .computeIfAbsent(crash, ignored -> new HashSet<>())
                        .add(part));
            }
        });
    }

    /**
     * The evidence of one part, when it last changed, and when it last changed or was tried, on the monotonic clock.
     * Immutable and thread-safe.
     */
    private record TrackedPart(PartEvidence evidence, long changedNanos, long touchedNanos) {}

    /** The evidence known at one moment. Immutable and thread-safe. */
    public static final class Evidence {
        /** No part has evidence. */
        public static final Evidence EMPTY = new Evidence(Map.of());

        private final Map<PromptPartId, PartEvidence> byPart;

        private Evidence(final Map<PromptPartId, PartEvidence> byPart) {
            this.byPart = Map.copyOf(byPart);
        }

        private PartEvidence of(final PromptPartId part) {
            return byPart.getOrDefault(part, PartEvidence.NONE);
        }
    }
}
