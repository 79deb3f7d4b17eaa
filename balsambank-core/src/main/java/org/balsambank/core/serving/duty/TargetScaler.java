package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ActivePlan;
import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.serving.placement.HeldClaim;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * Orders the number of targets of each service in each failure domain for which this VM holds the duty.
 *
 * <p>Every VM follows the loads of all subjects, so that a new holder decides from a full history. An order is sent
 * when the wanted number changes, and again every {@value #REPEAT_MILLIS} ms while the announced number differs from
 * it. Failure domains that the operator took out get no orders. Confined to the decision loop.
 */
final class TargetScaler {
    private static final long REPEAT_MILLIS = 5_000;
    private static final long REPEAT_NANOS = Duration.ofMillis(REPEAT_MILLIS).toNanos();
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_SUBJECTS = 256;

    private final ActivePlan activePlan;
    private final TargetTable targets;
    private final InFlightRequests inFlight;
    private final OfferedLoad offered;
    private final DutyClient client;
    private final DutyPacer pacer;
    private final BiConsumer<ClaimSubject, HeldClaim> onFenced;
    private final TimerService timer;
    private final DecisionLog log;
    private final DutyMetrics metrics;
    private final Map<ClaimSubject, Subject> subjects =
            new TreeMap<>((a, b) -> a.key().compareTo(b.key()));

    /**
     * Creates a scaler without subjects.
     *
     * @param activePlan the plan in force
     * @param targets the known targets
     * @param inFlight the requests in flight
     * @param offered the load that callers offer
     * @param client makes the calls
     * @param pacer spaces the calls
     * @param onFenced gives up a claim whose fencing token was rejected
     * @param timer supplies the monotonic time
     * @param log the decision log; gets a line for each order
     * @param metrics counts the outcomes
     */
    TargetScaler(
            final ActivePlan activePlan,
            final TargetTable targets,
            final InFlightRequests inFlight,
            final OfferedLoad offered,
            final DutyClient client,
            final DutyPacer pacer,
            final BiConsumer<ClaimSubject, HeldClaim> onFenced,
            final TimerService timer,
            final DecisionLog log,
            final DutyMetrics metrics) {
        this.activePlan = Objects.requireNonNull(activePlan);
        this.targets = Objects.requireNonNull(targets);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.offered = Objects.requireNonNull(offered);
        this.client = Objects.requireNonNull(client);
        this.pacer = Objects.requireNonNull(pacer);
        this.onFenced = Objects.requireNonNull(onFenced);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        this.metrics = Objects.requireNonNull(metrics);
    }

    /** Returns the subjects: each service that may be scaled in each failure domain that has had a target of it. */
    Set<ClaimSubject> subjects() {
        return subjects.keySet();
    }

    /**
     * Follows the loads, and orders what has changed.
     *
     * @param held finds the claim of this VM on a subject
     */
    void step(final Function<ClaimSubject, Optional<HeldClaim>> held) {
        final Optional<ServingPlan> plan = activePlan.current();
        if (plan.isEmpty()) {
            return;
        }
        final Set<ClaimSubject> current = new HashSet<>();
        for (final ServiceSpec service : plan.get().services()) {
            if (service.scaling().isPresent()) {
                current.addAll(follow(service, held));
            }
        }
        subjects.keySet().retainAll(current);
    }

    private Set<ClaimSubject> follow(
            final ServiceSpec service, final Function<ClaimSubject, Optional<HeldClaim>> held) {
        final Map<FailureDomain, List<TargetState>> byDomain = new HashMap<>();
        final long now = timer.nanoTime();
        for (final TargetState state : targets.all()) {
            if (state.announcement().service().equals(service.name())) {
                final List<TargetState> usable =
                        byDomain.computeIfAbsent(state.announcement().domain(), ignored -> new ArrayList<>());
                if (state.usable(now)) {
                    usable.add(state);
                }
            }
        }
        for (final FailureDomain domain : byDomain.keySet()) {
            final ClaimSubject subject =
                    ClaimSubject.duty("scale/" + service.name().value() + "/" + domain.value());
            if (subjects.size() < MAX_SUBJECTS) {
                subjects.computeIfAbsent(subject, ignored -> new Subject(service, domain));
            }
        }
        final long live = byDomain.entrySet().stream()
                .filter(each -> !each.getValue().isEmpty() && !targets.isOut(each.getKey()))
                .count();
        final TargetScaling.Load load = load(service, (int) live);
        final Set<ClaimSubject> own = new HashSet<>();
        subjects.forEach((key, subject) -> {
            if (subject.service.equals(service.name())) {
                own.add(key);
                final int announced =
                        byDomain.getOrDefault(subject.domain, List.of()).size();
                subject.update(service);
                subject.step(key, load, announced, held);
            }
        });
        return own;
    }

    private TargetScaling.Load load(final ServiceSpec service, final int domains) {
        int running = 0;
        int waiting = 0;
        int slots = 0;
        for (final TargetState state : targets.usable(service.name())) {
            final int requests = inFlight.total(state.announcement().id()).requests();
            slots = Math.max(slots, state.announcement().slots());
            running += Math.min(requests, state.announcement().slots());
            waiting += Math.max(0, requests - state.announcement().slots());
        }
        return new TargetScaling.Load(
                service.engine().isPresent(),
                offered.total(service.name()).promptTokensPerSecond(),
                running,
                waiting,
                slots,
                domains);
    }

    /** A service in a failure domain. Confined to the decision loop. */
    private final class Subject {
        private final ServiceName service;
        private final FailureDomain domain;
        private TargetScaling scaling;
        private OptionalInt ordered = OptionalInt.empty();
        private long orderedNanos;
        private long notBeforeNanos;
        private boolean calling;

        Subject(final ServiceSpec spec, final FailureDomain domain) {
            service = spec.name();
            this.domain = Objects.requireNonNull(domain);
            scaling = new TargetScaling(spec.scaling().orElseThrow());
            notBeforeNanos = timer.nanoTime();
        }

        void update(final ServiceSpec spec) {
            if (!scaling.spec().equals(spec.scaling().orElseThrow())) {
                scaling = new TargetScaling(spec.scaling().get());
            }
        }

        void step(
                final ClaimSubject key,
                final TargetScaling.Load load,
                final int announced,
                final Function<ClaimSubject, Optional<HeldClaim>> held) {
            final long now = timer.nanoTime();
            final OptionalInt wanted = scaling.decide(Duration.ofNanos(now).toMillis(), load, announced);
            final Optional<HeldClaim> claim = held.apply(key);
            if (claim.isEmpty()) {
                ordered = OptionalInt.empty();
                return;
            }
            if (wanted.isEmpty() || calling || now - notBeforeNanos < 0 || targets.isOut(domain)) {
                return;
            }
            final boolean changed = ordered.isPresent() && !ordered.equals(wanted);
            final boolean differs = announced != wanted.getAsInt();
            final boolean repeatDue = ordered.isEmpty() || now - orderedNanos >= REPEAT_NANOS;
            if ((changed || differs && repeatDue) && claim.get().valid() && pacer.tryCall(key)) {
                order(key, claim.get(), wanted.getAsInt(), load, announced);
            }
        }

        private void order(
                final ClaimSubject key,
                final HeldClaim claim,
                final int count,
                final TargetScaling.Load load,
                final int announced) {
            calling = true;
            client.orderTargets(claim, service, domain, count).subscribe(outcome -> {
                calling = false;
                metrics.call(DutyKind.AUTOSCALE, outcome);
                log.line("scale_order")
                        .with("service", service.value())
                        .with("domain", domain.value())
                        .with("wanted", count)
                        .with("announced", announced)
                        .with("prompt_tokens_per_s", Math.round(load.promptTokensPerSecond()))
                        .with("running", load.running())
                        .with("waiting", load.waiting())
                        .with("domains", load.domains())
                        .with("fence", claim.fence())
                        .with("outcome", outcome.name())
                        .write();
                if (outcome == DutyOutcome.ACCEPTED) {
                    ordered = OptionalInt.of(count);
                    orderedNanos = timer.nanoTime();
                } else if (outcome == DutyOutcome.FENCED) {
                    onFenced.accept(key, claim);
                } else {
                    notBeforeNanos = timer.nanoTime() + RETRY_NANOS;
                }
            });
        }
    }
}
