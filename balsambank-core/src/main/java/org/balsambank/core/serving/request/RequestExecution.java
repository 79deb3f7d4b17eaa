package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
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
 * One request from its arrival to its final answer: route, key, rate, target, adapter, sends.
 *
 * <p>Invariants: the caller gets one final answer; a request that may run once is not sent again after a byte of it may
 * have reached a target, unless that target says that it has not run; nothing is sent after the deadline, to a target
 * that may get nothing, or for a key that is withdrawn. Confined to the decision loop.
 */
public final class RequestExecution {
    private static final int MAX_SENDS = 4;
    private static final int MAX_CHOICES = 6;
    private static final int NOT_FOUND_HERE = 421;
    private static final long EARLY_NANOS = Duration.ofMillis(15).toNanos();
    private static final double HOPELESS_OBJECTIVES = 3.6;
    private static final double DEADLINE_PART = 0.9;
    private static final long LOAD_WAIT_MILLIS = 1_000;
    private static final long LOAD_WAITS_MILLIS = 2_200;
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    private final RequestDependencies parts;
    private final RequestAttributes call;
    private final CallerResponder caller;
    private final TargetSender sender;
    private final Set<TargetId> excluded = new HashSet<>();
    private ResolvedRequest resolved;
    private double units;
    private Optional<TeamSpec> charged = Optional.empty();
    private long deadlineNanos;
    private Disposable deadline = Disposable.disposed();
    private Disposable holding = Disposable.disposed();
    private TargetSender.AttemptHandle send;
    private InFlightRequests.InFlightRequest flight;
    private TargetChoice choice;
    private InFlightRequests.Usage atSend;
    private long sentNanos;
    private int sends;
    private int runs;
    private int choices;
    private long loadWaitedMillis;
    private long pacedMillis;
    private boolean mayHaveRun;
    private boolean answering;
    private boolean ended;
    private Optional<AdapterKey> missing = Optional.empty();

    /**
     * Creates a request that has not begun.
     *
     * @param parts what its steps consult
     * @param call what the caller has sent
     * @param caller takes the answer
     * @param sender sends the request to targets
     */
    public RequestExecution(
            final RequestDependencies parts,
            final RequestAttributes call,
            final CallerResponder caller,
            final TargetSender sender) {
        this.parts = Objects.requireNonNull(parts);
        this.call = Objects.requireNonNull(call);
        this.caller = Objects.requireNonNull(caller);
        this.sender = Objects.requireNonNull(sender);
    }

    /** Begins. */
    public void start() {
        try {
            resolve();
        } catch (final RequestRejectedException e) {
            refuse(e.kind(), Optional.empty(), e.getMessage());
            return;
        }
        final long now = parts.timer().nanoTime();
        final long asked = call.deadlineMillis() > 0 ? call.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
        final long bound = resolved.route().timeoutMillis() > 0
                ? Math.min(asked, resolved.route().timeoutMillis())
                : asked;
        deadlineNanos = call.arrivedNanos() + Duration.ofMillis(bound).toNanos() - EARLY_NANOS;
        if (parts.losses().poison(call.fingerprint())) {
            refuse(ErrorKind.POISON_REQUEST, Optional.empty(), "has cost several targets");
            return;
        }
        if (!charge()) {
            return;
        }
        parts.retries().request(resolved.service().name());
        deadline = parts.timer()
                .after(Duration.ofNanos(Math.max(0, deadlineNanos - now)))
                .subscribe(this::expired);
        next();
    }

    /** The caller has left: nothing more is done for it. */
    public void callerGone() {
        if (ended) {
            return;
        }
        stopSend();
        finish("caller_gone", "");
    }

    private void resolve() throws RequestRejectedException {
        resolved = ResolvedRequest.of(parts.plans().current(), call, parts.random());
    }

    private boolean charge() {
        if (resolved.team().isEmpty()) {
            return true;
        }
        final TeamSpec payer = resolved.team().get();
        units = call.tokensDeclared() ? call.promptTokens() + call.outputTokens() : payer.defaultUnits();
        final Optional<Duration> wait = parts.buckets().admit(payer, units);
        if (wait.isPresent()) {
            refuse(ErrorKind.RATE_EXCEEDED, wait, "units " + Math.round(units));
            return false;
        }
        charged = resolved.team();
        return true;
    }

    private void next() {
        if (ended) {
            return;
        }
        if (!stillAllowed()) {
            return;
        }
        if (sends >= MAX_SENDS || ++choices > MAX_CHOICES) {
            giveUp("tries used up");
            return;
        }
        final TargetRequirements wanted = new TargetRequirements(
                resolved.service(),
                call.model(),
                call.adapter(),
                call.promptTokens(),
                call.outputTokens(),
                objectiveLeft(),
                resolved.route().eventGapMillis());
        final Optional<TargetChoice> chosen = parts.chooser().choose(wanted, excluded);
        if (chosen.isEmpty()) {
            giveUp("no target");
            return;
        }
        choice = chosen.get();
        if (hopeless(choice.estimateMillis())) {
            refuse(
                    ErrorKind.OVERLOADED,
                    Optional.of(RetryAfter.after(
                            choice.estimateMillis() - resolved.route().targetLatencyMillis(), parts.random())),
                    "estimate " + Math.round(choice.estimateMillis()) + " ms");
            return;
        }
        if (choice.needsLoad() || missing.isPresent()) {
            load();
            return;
        }
        place(OptionalLong.empty());
    }

    private long objectiveLeft() {
        if (resolved.route().targetLatencyMillis() <= 0) {
            return 0;
        }
        return Math.max(1, resolved.route().targetLatencyMillis() - millisSince(call.arrivedNanos()));
    }

    private boolean stillAllowed() {
        final Optional<ServingPlan> current = parts.plans().current();
        if (current.isEmpty() || current.get() == resolved.plan()) {
            return true;
        }
        try {
            resolve();
            return true;
        } catch (final RequestRejectedException e) {
            refuse(e.kind(), Optional.empty(), "the plan has changed");
            return false;
        }
    }

    private boolean hopeless(final double estimateMillis) {
        final double left =
                Duration.ofNanos(deadlineNanos - parts.timer().nanoTime()).toMillis() * DEADLINE_PART;
        if (resolved.route().repeatPolicy() != RepeatPolicy.STREAM
                || resolved.route().targetLatencyMillis() <= 0) {
            return estimateMillis > left;
        }
        return estimateMillis
                > Math.min(left, HOPELESS_OBJECTIVES * resolved.route().targetLatencyMillis());
    }

    private void load() {
        final AdapterKey adapter = call.adapter().orElseThrow();
        final TargetAnnouncement target = choice.target();
        final boolean wasMissing = missing.isPresent();
        missing = Optional.empty();
        final long wait = Math.min(LOAD_WAIT_MILLIS, LOAD_WAITS_MILLIS - loadWaitedMillis);
        if (wait <= 0) {
            giveUp("waits for adapters used up");
            return;
        }
        final long version = parts.holdings().newest(adapter);
        final long sinceNanos = parts.timer().nanoTime();
        holding = parts.placement()
                .ensure(target, adapter, version, wasMissing, Duration.ofMillis(wait))
                .subscribe(hold -> loaded(hold, adapter, sinceNanos));
    }

    private void loaded(final ResidencyResult hold, final AdapterKey adapter, final long sinceNanos) {
        if (ended) {
            return;
        }
        loadWaitedMillis += millisSince(sinceNanos);
        line("adapter_wait")
                .with("target", choice.target().id().value())
                .with("adapter", adapter.toString())
                .with("held", String.valueOf(hold.held()))
                .with("reason", hold.reason())
                .with("waited_ms", millisSince(sinceNanos))
                .write();
        if (!hold.held() || !parts.targets().usable(choice.target().id())) {
            excluded.add(choice.target().id());
            next();
            return;
        }
        if (!stillAllowed()) {
            return;
        }
        place(hold.version() > 0 ? OptionalLong.of(hold.version()) : OptionalLong.empty());
    }

    /** Takes its place at the target, and sends once the target has few enough tokens to read. */
    private void place(final OptionalLong loadedVersion) {
        final TargetId target = choice.target().id();
        atSend = parts.flights().total(target);
        final Duration wait = resolved.service().engine().isEmpty()
                ? Duration.ZERO
                : PrefillPacing.delay(
                        engine(), atSend, call.promptTokens(), resolved.route().eventGapMillis());
        flight = parts.flights().begin(target, call.promptTokens(), call.adapter());
        pacedMillis = wait.toMillis();
        if (wait.isZero()) {
            send(loadedVersion);
            return;
        }
        holding = parts.timer().after(wait).subscribe(() -> paced(loadedVersion));
    }

    private void paced(final OptionalLong loadedVersion) {
        if (ended || !stillAllowed()) {
            return;
        }
        if (!parts.chooser().takes(resolved.service(), choice.target().id())) {
            excluded.add(choice.target().id());
            stopSend();
            next();
            return;
        }
        send(loadedVersion);
    }

    private void send(final OptionalLong loadedVersion) {
        final TargetAnnouncement target = choice.target();
        final long now = parts.timer().nanoTime();
        final long remaining = Duration.ofNanos(deadlineNanos - now).toMillis();
        if (remaining <= 0) {
            expired();
            return;
        }
        sends++;
        mayHaveRun = true;
        sentNanos = now;
        parts.cold().sent(target.id());
        final OutgoingAttempt outgoing = new OutgoingAttempt(
                target,
                resolved.service().maxConnections(),
                resolved.team().map(TeamSpec::id),
                remaining,
                expectedVersion(target, loadedVersion),
                resolved.route().repeatPolicy() != RepeatPolicy.STREAM);
        line("sent")
                .with("target", target.id().value())
                .with("adapter", call.adapter().map(AdapterKey::toString).orElse(""))
                .with("attempt", sends)
                .with("estimate_ms", Math.round(choice.estimateMillis()))
                .with("read_ms", Math.round(choice.readMillis()))
                .with("paced_ms", pacedMillis)
                .with("plan_version", resolved.plan().version())
                .with("plan_age_ms", parts.plans().age().toMillis())
                .with("remaining_ms", remaining)
                .write();
        send = sender.send(outgoing, new Attempt());
    }

    private OptionalLong expectedVersion(final TargetAnnouncement target, final OptionalLong loadedVersion) {
        if (call.adapter().isEmpty() || parts.holdings().newest(call.adapter().get()) == 0) {
            return OptionalLong.empty();
        }
        if (loadedVersion.isPresent()) {
            return loadedVersion;
        }
        return parts.holdings().of(target).version(call.adapter().get());
    }

    private void expired() {
        if (ended) {
            return;
        }
        stopSend();
        if (answering) {
            caller.abort();
            finish("deadline_in_answer", "");
            return;
        }
        refuse(mayHaveRun ? ErrorKind.DEADLINE_DURING_RUN : ErrorKind.DEADLINE_BEFORE_RUN, Optional.empty(), "");
    }

    private void giveUp(final String why) {
        final double expected = choice == null ? resolved.route().targetLatencyMillis() : choice.readMillis();
        refuse(ErrorKind.NO_TARGET, Optional.of(RetryAfter.after(expected, parts.random())), why);
    }

    private void refuse(final ErrorKind kind, final Optional<Duration> retryAfter, final String why) {
        if (!mayHaveRun) {
            charged.ifPresent(payer -> parts.buckets().giveBack(payer, units));
        }
        caller.reject(kind, retryAfter);
        finish(kind.code(), why);
    }

    private void finish(final String outcome, final String why) {
        ended = true;
        endFlight();
        deadline.dispose();
        holding.dispose();
        parts.meters().outcome(outcome);
        line("ended")
                .with("outcome", outcome)
                .with("why", why)
                .with("route", resolved == null ? "" : resolved.route().name())
                .with(
                        "team",
                        resolved == null
                                ? ""
                                : resolved.team().map(each -> each.id().value()).orElse(""))
                .with("units", Math.round(units))
                .with("sends", sends)
                .with("plan_version", planVersion())
                .with("took_ms", millisSince(call.arrivedNanos()))
                .write();
    }

    private long planVersion() {
        final Optional<ServingPlan> plan = resolved == null ? parts.plans().current() : Optional.of(resolved.plan());
        return plan.map(ServingPlan::version).orElse(0L);
    }

    private void stopSend() {
        if (send != null) {
            send.cancel();
            send = null;
        }
        endFlight();
    }

    private void endFlight() {
        if (flight != null) {
            flight.end();
            flight = null;
        }
    }

    private EngineLatencyModel engine() {
        return parts.engines().of(resolved.service().name());
    }

    private long millisSince(final long nanos) {
        return Duration.ofNanos(parts.timer().nanoTime() - nanos).toMillis();
    }

    private DecisionLog.Line line(final String event) {
        return parts.log().line(event).with("request", call.id().value());
    }

    /** What becomes of one send. */
    private final class Attempt implements AttemptListener {
        private ResponseHead head;
        private boolean forwarded;
        private long firstPieceMillis = -1;
        private long lastPieceNanos;
        private long longestPauseMillis;

        @Override
        public boolean head(final ResponseHead received) {
            head = received;
            forwarded = !notRun(received) && !bad(received) && !repeat(received);
            if (!notRun(received)) {
                runs++;
            }
            if (forwarded) {
                answering = true;
            }
            return forwarded;
        }

        @Override
        public void chunk() {
            final long now = parts.timer().nanoTime();
            if (firstPieceMillis < 0) {
                firstPiece();
            } else {
                longestPauseMillis = Math.max(longestPauseMillis, millisSince(lastPieceNanos));
            }
            lastPieceNanos = now;
        }

        private void firstPiece() {
            flight.firstChunk();
            firstPieceMillis = millisSince(sentNanos);
            if (head == null || !head.success()) {
                return;
            }
            final double actual = (parts.timer().nanoTime() - sentNanos) / 1e6;
            double expected = choice.readMillis();
            if (resolved.service().engine().isPresent()) {
                expected = engine().timeToFirstChunkMillis(atSend, call.promptTokens()) - pacedMillis;
                engine().observe(atSend, call.promptTokens(), actual + pacedMillis);
            }
            parts.paces().firstPiece(choice.target().id(), expected, actual);
            parts.meters()
                    .firstPiece(resolved.service().name().value(), Duration.ofMillis(millisSince(call.arrivedNanos())));
        }

        @Override
        public void ended(final AttemptEnd end) {
            send = null;
            endFlight();
            final TargetAnnouncement target = choice.target();
            line("send_ended")
                    .with("target", target.id().value())
                    .with("end", end.name())
                    .with("status", head == null ? 0 : head.status())
                    .with("not_run", String.valueOf(head != null && notRun(head)))
                    .with("first_piece_ms", firstPieceMillis)
                    .with("longest_pause_ms", longestPauseMillis)
                    .with("took_ms", millisSince(sentNanos))
                    .write();
            switch (end) {
                case COMPLETE -> complete(target);
                case NOT_SENT -> notSent(target);
                case LOST -> lost(target);
                default -> broken(target);
            }
        }

        private boolean notRun(final ResponseHead received) {
            return received.notExecuted() || received.status() == NOT_FOUND_HERE;
        }

        private boolean bad(final ResponseHead received) {
            return received.encoded() || received.success() && !received.sealed();
        }

        private boolean repeat(final ResponseHead received) {
            return resolved.route().repeatPolicy() == RepeatPolicy.SAFE
                    && received.serverError()
                    && runs + 1 < resolved.route().maxAttempts()
                    && sends < MAX_SENDS
                    && parts.retries().take(resolved.service().name());
        }

        private void complete(final TargetAnnouncement target) {
            if (forwarded) {
                parts.paces().ended(target.id(), head.serverError());
                finish("answered_" + head.status(), "");
                return;
            }
            if (notRun(head)) {
                refused(target);
                return;
            }
            parts.paces().ended(target.id(), true);
            if (bad(head)) {
                unknown(target);
                return;
            }
            excluded.add(target.id());
            next();
        }

        private void refused(final TargetAnnouncement target) {
            mayHaveRun = runs > 0;
            if (head.status() == NOT_FOUND_HERE && call.adapter().isPresent()) {
                parts.holdings().missing(target, call.adapter().get());
                missing = call.adapter();
            } else {
                excluded.add(target.id());
                parts.paces().ended(target.id(), true);
            }
            if (parts.retries().take(resolved.service().name())) {
                next();
            } else {
                giveUp("retries used up");
            }
        }

        private void notSent(final TargetAnnouncement target) {
            mayHaveRun = runs > 0;
            excluded.add(target.id());
            parts.paces().ended(target.id(), true);
            next();
        }

        private void lost(final TargetAnnouncement target) {
            runs++;
            parts.paces().ended(target.id(), true);
            parts.losses().lost(call.fingerprint(), target);
            unknown(target);
        }

        private void unknown(final TargetAnnouncement target) {
            excluded.add(target.id());
            final boolean again = resolved.route().repeatPolicy() == RepeatPolicy.SAFE
                    && runs < resolved.route().maxAttempts()
                    && !parts.losses().poison(call.fingerprint())
                    && parts.retries().take(resolved.service().name());
            if (again) {
                next();
            } else {
                refuse(ErrorKind.TARGET_LOST, Optional.empty(), "the answer was lost");
            }
        }

        private void broken(final TargetAnnouncement target) {
            parts.paces().ended(target.id(), true);
            parts.losses().lost(call.fingerprint(), target);
            caller.abort();
            finish("answer_broken", "");
        }
    }
}
