package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.choice.EngineLatencyModel;
import org.balsambank.core.serving.choice.PrefillPacing;
import org.balsambank.core.serving.choice.TargetChoice;
import org.balsambank.core.serving.choice.TargetRequirements;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.ResidencyResult;
import org.balsambank.core.serving.plan.RepeatPolicy;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * Handles one request from its arrival to its final response: route, API key, rate limit, choice of a target, adapter
 * residency and attempts.
 *
 * <p>Invariants: the caller gets exactly one final response; a request that may run only once is not sent again after a
 * byte of it may have reached a target, unless that target states that it has not executed it; nothing is sent after
 * the deadline, to a target that must not receive requests, or for an API key that was withdrawn. Confined to the
 * decision loop.
 */
public final class RequestExecution {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_TARGET_CHOICES = 6;
    private static final int MISDIRECTED_REQUEST = 421;

    /** The time that a target may need to end a response after its deadline. */
    private static final Duration TARGET_END_MARGIN = Duration.ofMillis(100);

    private static final long MAX_ADAPTER_WAIT_MILLIS = 1_000;
    private static final long TOTAL_ADAPTER_WAIT_MILLIS = 2_200;

    private final RequestDependencies dependencies;
    private final RequestAttributes attributes;
    private final CallerResponder caller;
    private final TargetSender sender;
    private final CrashGuard crashGuard;
    private final TargetNotices notices;
    private final RequestLog log;
    private final RequestPermits permits;
    private final RequestPlaces places;
    private final RequestAdmission admission;
    private final Set<TargetId> excluded = new HashSet<>();
    private ResolvedRequest resolved;
    private double units;
    private Optional<TeamSpec> chargedTeam = Optional.empty();
    private RequestDeadline requestDeadline;
    private Disposable deadline = Disposable.disposed();
    private Disposable pendingWait = Disposable.disposed();
    private Disposable verdicts = Disposable.disposed();
    private TargetSender.AttemptHandle currentAttempt;
    private InFlightRequests.InFlightRequest inFlight;
    private TargetChoice choice;
    private InFlightRequests.Usage usageAtSend;
    private long sentNanos;
    private int attempts;
    private int executions;
    private int targetChoices;
    private long adapterWaitMillis;
    private long pacingMillis;
    private boolean mayHaveExecuted;
    private boolean responding;
    private boolean partPassedOn;
    private boolean ended;
    private Optional<AdapterKey> missingAdapter = Optional.empty();

    /**
     * Creates a request that has not started.
     *
     * @param dependencies the components that it uses
     * @param attributes the attributes of the request
     * @param caller gets this VM's own final response, if any
     * @param sender sends attempts of the request to targets
     */
    public RequestExecution(
            final RequestDependencies dependencies,
            final RequestAttributes attributes,
            final CallerResponder caller,
            final TargetSender sender) {
        this.dependencies = Objects.requireNonNull(dependencies);
        this.attributes = Objects.requireNonNull(attributes);
        this.caller = Objects.requireNonNull(caller);
        this.sender = Objects.requireNonNull(sender);
        crashGuard = new CrashGuard(dependencies.crashTracker(), attributes);
        notices = new TargetNotices(
                dependencies.targets(),
                dependencies.limits(),
                dependencies.loads(),
                dependencies.metrics(),
                attributes.id());
        log = new RequestLog(dependencies.log(), attributes);
        permits = new RequestPermits(dependencies, log);
        places = new RequestPlaces(dependencies);
        admission = new RequestAdmission(dependencies.admission(), attributes, dependencies.random());
    }

    /** Checks the request and starts the first attempt. */
    public void start() {
        try {
            resolve();
        } catch (final RequestRejectedException e) {
            reject(e.kind(), Optional.empty(), e.getMessage());
            return;
        }
        requestDeadline = new RequestDeadline(dependencies.timer(), attributes, resolved.route());
        if (!dependencies.stopWindow().accepts(requestDeadline.endNanos())) {
            reject(ErrorKind.STOPPING, Optional.empty(), "this VM exits before the deadline");
            return;
        }
        if (!mayRun() || !admit()) {
            return;
        }
        final Optional<Duration> retryAfter = admission.decide(resolved, requestDeadline.remaining());
        if (retryAfter.isPresent()) {
            reject(ErrorKind.OVERLOADED, retryAfter, "beyond the fair share");
            return;
        }
        dependencies.retryBudgets().recordRequest(resolved.service().name());
        dependencies.admissions().admitted(resolved.service().name(), attributes.promptTokens());
        deadline = dependencies
                .timer()
                .after(requestDeadline.remaining().isNegative() ? Duration.ZERO : requestDeadline.remaining())
                .subscribe(this::deadlineExpired);
        verdicts = crashGuard.verdicts().subscribe(ignored -> verdictChanged());
        tryNextTarget();
    }

    /** Gives the request up if it would crash its target; a response that has begun goes on. */
    private void verdictChanged() {
        if (ended || responding || crashGuard.refusal().isEmpty()) {
            return;
        }
        cancelAttempt();
        mayRun();
    }

    /** Cancels the request, as the caller has disconnected. */
    public void callerGone() {
        if (ended) {
            return;
        }
        final String stage = stage();
        cancelAttempt();
        refundIfNotExecuted();
        finish("caller_gone", stage);
    }

    private String stage() {
        if (responding) {
            return "response in progress";
        }
        if (currentAttempt != null) {
            return "attempt in progress";
        }
        return inFlight == null ? "waiting for the adapter" : "waiting to be sent";
    }

    private void resolve() throws RequestRejectedException {
        resolved = ResolvedRequest.resolve(dependencies.activePlan().current(), attributes, dependencies.random());
    }

    /** Refuses a request that would crash its target; one that may have run elsewhere counts as lost there. */
    private boolean mayRun() {
        final Optional<CrashGuard.Refusal> refusal = crashGuard.refusal();
        refusal.ifPresent(
                each -> reject(mayHaveExecuted ? ErrorKind.TARGET_LOST : each.kind(), Optional.empty(), each.reason()));
        return refusal.isEmpty();
    }

    private boolean admit() {
        if (resolved.team().isEmpty()) {
            return true;
        }
        final TeamSpec team = resolved.team().get();
        units = admission.rateUnits(team);
        final Optional<Duration> wait = dependencies.rateLimiter().admit(team, units);
        if (wait.isPresent()) {
            reject(ErrorKind.RATE_EXCEEDED, wait, "units " + Math.round(units));
            return false;
        }
        chargedTeam = resolved.team();
        return true;
    }

    private void tryNextTarget() {
        if (ended) {
            return;
        }
        if (!stillAllowed() || heldBack()) {
            return;
        }
        if (attempts >= MAX_ATTEMPTS || ++targetChoices > MAX_TARGET_CHOICES) {
            rejectWithNoTarget("attempts exhausted");
            return;
        }
        final TargetRequirements required = new TargetRequirements(
                resolved.service(),
                attributes.model(),
                attributes.adapter(),
                attributes.promptTokens(),
                attributes.outputTokens(),
                requestDeadline.remainingObjectiveMillis(resolved.route()),
                resolved.route().eventGapMillis());
        places.choose(required, excluded, requestDeadline, this::targetChosen);
    }

    private void targetChosen(final Optional<TargetChoice> chosen) {
        if (ended || !stillAllowed()) {
            return;
        }
        if (chosen.isEmpty()) {
            dependencies
                    .chooser()
                    .untilPauseEnds(resolved.service(), excluded)
                    .ifPresentOrElse(this::waitForPause, this::rejectWithoutPermit);
            return;
        }
        choice = chosen.get();
        final Optional<Duration> late = admission.tooLate(resolved, requestDeadline, choice.estimateMillis());
        if (late.isPresent()) {
            reject(ErrorKind.OVERLOADED, late, "estimate " + Math.round(choice.estimateMillis()) + " ms");
            return;
        }
        if (choice.needsLoad() || missingAdapter.isPresent()) {
            withPermit(this::awaitAdapter);
            return;
        }
        paceAndSend(OptionalLong.empty());
    }

    /** Lets the request wait while it may be the cause of losses that are not decided yet. */
    private boolean heldBack() {
        final Optional<Completable> hold = crashGuard.hold();
        hold.ifPresent(released -> pendingWait = released.subscribe(() -> {
            if (!ended && mayRun()) {
                tryNextTarget();
            }
        }));
        return hold.isPresent();
    }

    /** Waits until a target that has paused may take the request; rejects it at once if its deadline comes first. */
    private void waitForPause(final Duration untilEnd) {
        final Duration wait = RetryAfter.spreadAfter(untilEnd, dependencies.random());
        if (wait.compareTo(requestDeadline.remaining()) >= 0) {
            reject(ErrorKind.OVERLOADED, Optional.of(wait), "all targets pause");
            return;
        }
        targetChoices--;
        pendingWait = dependencies.timer().after(wait).subscribe(this::tryNextTarget);
    }

    /** Rejects the request, as its targets limit their requests and others come first, or as there are none. */
    private void rejectWithoutPermit() {
        dependencies
                .chooser()
                .untilPermit(resolved.service())
                .ifPresentOrElse(
                        wait -> reject(
                                ErrorKind.OVERLOADED,
                                Optional.of(RetryAfter.spreadAfter(wait, dependencies.random())),
                                "all targets limit their requests"),
                        () -> rejectWithNoTarget("no usable target"));
    }

    private boolean stillAllowed() {
        final Optional<ServingPlan> current = dependencies.activePlan().current();
        if (current.isEmpty() || current.get() == resolved.plan()) {
            return true;
        }
        try {
            resolve();
            return true;
        } catch (final RequestRejectedException e) {
            reject(e.kind(), Optional.empty(), "no longer allowed by the current plan");
            return false;
        }
    }

    private void awaitAdapter() {
        final AdapterKey adapter = attributes.adapter().orElseThrow();
        final TargetAnnouncement target = choice.target();
        final boolean wasMissing = missingAdapter.isPresent();
        missingAdapter = Optional.empty();
        final long wait = Math.min(MAX_ADAPTER_WAIT_MILLIS, TOTAL_ADAPTER_WAIT_MILLIS - adapterWaitMillis);
        if (wait <= 0) {
            rejectWithNoTarget("adapter wait time exhausted");
            return;
        }
        final long version = dependencies.residency().latestVersion(adapter);
        final long sinceNanos = dependencies.timer().nanoTime();
        pendingWait = dependencies
                .placement()
                .ensure(target, adapter, version, wasMissing, Duration.ofMillis(wait))
                .subscribe(result -> adapterWaitEnded(result, adapter, sinceNanos));
    }

    private void adapterWaitEnded(final ResidencyResult result, final AdapterKey adapter, final long sinceNanos) {
        if (ended) {
            return;
        }
        adapterWaitMillis += millisSince(sinceNanos);
        places.adapterWaitEnded(choice.target().id(), result.resident(), millisSince(sinceNanos));
        log.adapterWaitEnded(choice.target().id(), adapter, result, millisSince(sinceNanos));
        if (!result.resident() || !dependencies.targets().usable(choice.target().id())) {
            excluded.add(choice.target().id());
            tryNextTarget();
            return;
        }
        if (!stillAllowed()) {
            return;
        }
        paceAndSend(result.version() > 0 ? OptionalLong.of(result.version()) : OptionalLong.empty());
    }

    /**
     * Counts the request as in flight at the target, and sends it once the target has few enough pending prompt tokens.
     */
    private void paceAndSend(final OptionalLong loadedVersion) {
        final TargetId target = choice.target().id();
        usageAtSend = dependencies.inFlight().total(target);
        final Duration wait = resolved.service().engine().isEmpty()
                ? Duration.ZERO
                : PrefillPacing.delay(
                        engine(),
                        usageAtSend,
                        attributes.promptTokens(),
                        resolved.route().eventGapMillis());
        inFlight = dependencies.inFlight().begin(target, attributes.promptTokens(), attributes.adapter());
        admission.dispatched();
        pacingMillis = wait.toMillis();
        if (wait.isZero()) {
            withPermit(() -> send(loadedVersion));
            return;
        }
        pendingWait = dependencies.timer().after(wait).subscribe(() -> sendAfterPacing(loadedVersion));
    }

    private void sendAfterPacing(final OptionalLong loadedVersion) {
        if (mayStillBeSent()) {
            withPermit(() -> send(loadedVersion));
        }
    }

    /** Checks a request that has waited; one that its target must not receive any more goes elsewhere. */
    private boolean mayStillBeSent() {
        if (ended || !stillAllowed()) {
            return false;
        }
        if (!dependencies
                .chooser()
                .stillAccepts(resolved.service(), choice.target().id())) {
            excluded.add(choice.target().id());
            cancelAttempt();
            tryNextTarget();
            return false;
        }
        return true;
    }

    /** Takes the next step once the request has a permit, if the target limits the requests of all VMs together. */
    private void withPermit(final Runnable next) {
        if (!permits.needed(choice.target())) {
            next.run();
            return;
        }
        pendingWait =
                permits.acquire(choice.target(), requestDeadline).subscribe(granted -> permitWaitEnded(granted, next));
    }

    private void permitWaitEnded(final boolean granted, final Runnable next) {
        if (ended) {
            return;
        }
        if (granted) {
            if (mayStillBeSent()) {
                next.run();
            }
            return;
        }
        cancelAttempt();
        targetChoices--;
        excluded.addAll(permits.refused(choice.target().id(), resolved.service()));
        tryNextTarget();
    }

    private void send(final OptionalLong loadedVersion) {
        final TargetAnnouncement target = choice.target();
        final long now = dependencies.timer().nanoTime();
        final long remaining = requestDeadline.remaining().toMillis();
        if (remaining <= 0) {
            deadlineExpired();
            return;
        }
        if (!mayRun()) {
            return;
        }
        permits.use();
        attempts++;
        mayHaveExecuted = true;
        sentNanos = now;
        dependencies.coldTargetLimiter().recordRequest(target.id());
        final OutgoingAttempt outgoing = new OutgoingAttempt(
                target,
                resolved.service().maxConnections(),
                resolved.team().map(TeamSpec::id),
                remaining,
                attributes
                        .adapter()
                        .map(adapter -> dependencies.residency().expectedVersion(target, adapter, loadedVersion))
                        .orElse(OptionalLong.empty()),
                resolved.route().repeatPolicy() != RepeatPolicy.STREAM);
        log.sent(
                choice,
                attempts,
                pacingMillis,
                resolved.plan().version(),
                dependencies.activePlan().age(),
                remaining);
        currentAttempt = sender.send(outgoing, crashGuard.watch(target, new Attempt()));
    }

    /**
     * Gives the request up; a response of which a part was passed on is left to its target, which ends it at the same
     * deadline.
     */
    private void deadlineExpired() {
        if (partPassedOn) {
            deadline = dependencies.timer().after(TARGET_END_MARGIN).subscribe(this::deadlineOverrun);
        } else {
            deadlineOverrun();
        }
    }

    private void deadlineOverrun() {
        giveUp("deadline_in_answer", ErrorKind.DEADLINE_DURING_RUN, ErrorKind.DEADLINE_BEFORE_RUN);
    }

    /** Gives the request up, as this VM exits; the caller gets a final response unless one has begun. */
    public void vmExits() {
        giveUp("exit_in_answer", ErrorKind.TARGET_LOST, ErrorKind.STOPPING);
    }

    private void giveUp(final String outcomeInResponse, final ErrorKind ifExecuted, final ErrorKind ifNotExecuted) {
        if (ended) {
            return;
        }
        cancelAttempt();
        if (responding) {
            caller.abort();
            finish(outcomeInResponse, "");
            return;
        }
        reject(mayHaveExecuted ? ifExecuted : ifNotExecuted, Optional.empty(), "");
    }

    private void rejectWithNoTarget(final String reason) {
        final double expected = choice == null ? resolved.route().targetLatencyMillis() : choice.processingMillis();
        reject(ErrorKind.NO_TARGET, Optional.of(RetryAfter.jitteredDelay(expected, dependencies.random())), reason);
    }

    private void reject(final ErrorKind kind, final Optional<Duration> retryAfter, final String reason) {
        refundIfNotExecuted();
        caller.reject(kind, retryAfter);
        finish(kind.code(), reason);
    }

    private void refundIfNotExecuted() {
        if (!mayHaveExecuted) {
            chargedTeam.ifPresent(team -> dependencies.rateLimiter().refund(team, units));
        }
    }

    private void finish(final String outcome, final String reason) {
        ended = true;
        admission.end();
        places.close();
        endInFlight();
        deadline.dispose();
        pendingWait.dispose();
        verdicts.dispose();
        dependencies.metrics().outcome(outcome);
        log.ended(
                outcome,
                reason,
                Optional.ofNullable(resolved),
                units,
                attempts,
                planVersion(),
                millisSince(attributes.arrivedNanos()));
    }

    private long planVersion() {
        final Optional<ServingPlan> plan =
                resolved == null ? dependencies.activePlan().current() : Optional.of(resolved.plan());
        return plan.map(ServingPlan::version).orElse(0L);
    }

    private void cancelAttempt() {
        if (currentAttempt != null) {
            final boolean written = currentAttempt.cancel();
            currentAttempt = null;
            mayHaveExecuted = written || executions > 0;
            log.attemptCancelled(choice.target().id(), written, millisSince(sentNanos));
        }
        endInFlight();
    }

    private void endInFlight() {
        places.end();
        if (inFlight != null) {
            inFlight.end();
            inFlight = null;
        }
    }

    private EngineLatencyModel engine() {
        return dependencies.latencyModels().of(resolved.service().name());
    }

    private long millisSince(final long nanos) {
        return Duration.ofNanos(dependencies.timer().nanoTime() - nanos).toMillis();
    }

    /** Handles the events of one attempt. */
    private final class Attempt implements AttemptListener {
        private ResponseHead head;
        private boolean forwarded;
        private boolean pauseWanted;
        private long firstChunkMillis = -1;
        private long lastChunkNanos;
        private long longestPauseMillis;

        @Override
        public void headArrived(final ResponseHead received) {
            pauseWanted = notices.record(choice.target(), received, sentNanos);
        }

        @Override
        public boolean head(final ResponseHead received) {
            head = received;
            forwarded = !received.refused() && !received.invalid() && !shouldRepeat(received);
            if (!received.refused()) {
                executions++;
            }
            if (forwarded) {
                responding = true;
            }
            return forwarded;
        }

        @Override
        public void chunk() {
            final long now = dependencies.timer().nanoTime();
            partPassedOn |= forwarded;
            if (firstChunkMillis < 0) {
                firstChunk();
            } else {
                longestPauseMillis = Math.max(longestPauseMillis, millisSince(lastChunkNanos));
            }
            lastChunkNanos = now;
        }

        private void firstChunk() {
            inFlight.firstChunk();
            places.promptRead();
            firstChunkMillis = millisSince(sentNanos);
            if (head == null || !head.success()) {
                return;
            }
            admission.responseBegun();
            final double actual = (dependencies.timer().nanoTime() - sentNanos) / 1e6;
            final double pace = choice.forecast().paceFactor();
            double expected = choice.processingMillis();
            if (resolved.service().engine().isPresent()) {
                expected = engine().timeToFirstChunkMillis(usageAtSend, attributes.promptTokens()) - pacingMillis;
                engine().observe(usageAtSend, attributes.promptTokens(), actual / pace + pacingMillis);
            }
            dependencies.performance().firstChunk(choice.target().id(), expected * pace, actual);
            dependencies
                    .metrics()
                    .firstChunk(
                            resolved.service().name().value(),
                            Duration.ofMillis(millisSince(attributes.arrivedNanos())));
        }

        @Override
        public void ended(final AttemptEnd end) {
            currentAttempt = null;
            endInFlight();
            final TargetAnnouncement target = choice.target();
            log.attemptEnded(
                    target.id(),
                    end,
                    Optional.ofNullable(head),
                    head != null && head.refused(),
                    firstChunkMillis,
                    longestPauseMillis,
                    millisSince(sentNanos));
            switch (end) {
                case COMPLETE -> handleComplete(target);
                case NOT_SENT -> handleNotSent(target);
                case LOST -> handleLost(target);
                default -> handleBroken(target);
            }
        }

        private boolean shouldRepeat(final ResponseHead received) {
            return resolved.route().repeatPolicy() == RepeatPolicy.SAFE
                    && received.serverError()
                    && executions + 1 < resolved.route().maxAttempts()
                    && attempts < MAX_ATTEMPTS
                    && dependencies.retryBudgets().tryTake(resolved.service().name());
        }

        private void handleComplete(final TargetAnnouncement target) {
            if (forwarded) {
                dependencies.performance().ended(target.id(), head.serverError() && !pauseWanted);
                finish("answered_" + head.status(), "");
                return;
            }
            if (head.refused()) {
                handleNotExecuted(target);
                return;
            }
            dependencies.performance().ended(target.id(), !pauseWanted);
            if (head.invalid()) {
                handleUnknownOutcome(target);
                return;
            }
            excluded.add(target.id());
            tryNextTarget();
        }

        private void handleNotExecuted(final TargetAnnouncement target) {
            mayHaveExecuted = executions > 0;
            if (head.status() == MISDIRECTED_REQUEST && attributes.adapter().isPresent()) {
                dependencies
                        .residency()
                        .recordMissing(target, attributes.adapter().get());
                missingAdapter = attributes.adapter();
            } else if (!pauseWanted) {
                excluded.add(target.id());
                if (!head.busy()) {
                    dependencies.performance().ended(target.id(), true);
                }
            }
            if (dependencies.retryBudgets().tryTake(resolved.service().name())) {
                tryNextTarget();
            } else {
                rejectWithNoTarget("retry budget exhausted");
            }
        }

        private void handleNotSent(final TargetAnnouncement target) {
            mayHaveExecuted = executions > 0;
            excluded.add(target.id());
            dependencies.performance().ended(target.id(), true);
            tryNextTarget();
        }

        private void handleLost(final TargetAnnouncement target) {
            executions++;
            dependencies.performance().ended(target.id(), true);
            handleUnknownOutcome(target);
        }

        private void handleUnknownOutcome(final TargetAnnouncement target) {
            excluded.add(target.id());
            final boolean retry = resolved.route().repeatPolicy() == RepeatPolicy.SAFE
                    && executions < resolved.route().maxAttempts()
                    && crashGuard.refusal().isEmpty()
                    && dependencies.retryBudgets().tryTake(resolved.service().name());
            if (retry) {
                tryNextTarget();
            } else {
                reject(ErrorKind.TARGET_LOST, Optional.empty(), "the response was lost");
            }
        }

        private void handleBroken(final TargetAnnouncement target) {
            dependencies.performance().ended(target.id(), true);
            caller.abort();
            finish("answer_broken", "");
        }
    }
}
