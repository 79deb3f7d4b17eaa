package org.balsambank.core.target;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.TargetReport;

/**
 * Decides for one target: permits, queue, loads and evictions.
 *
 * <p>Invariants: no permit and no order without the epoch of this instant; the permits in use and the requests of
 * others never exceed the present limit when a permit is given; an adapter with a permit in use is pinned. After a
 * gain of the partition no permit is given before a report shows all that the earlier owner sent, and no order while
 * one of the earlier owner can be under way; the first owner ever waits for nobody. Confined to the decision loop.
 */
final class OwnedTarget implements LoaderHost {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration EARLIER_ORDERS = AdapterLoader.LOAD_TIMEOUT.plus(AdapterResidency.REPORT_LAG);
    private static final Epoch FIRST_EPOCH = new Epoch(1);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_FAILED_REPORTS = 3;
    private static final int QUEUED_PER_PERMIT = 4;
    private static final int MIN_QUEUE = 8;
    private static final int MIN_LOST_ADAPTERS = 4;
    private static final double DEFAULT_TEAM_WEIGHT = 1;

    private final GateContext context;
    private final PartitionId partition;
    private final FairQueue<QueuedRequest> queue = new FairQueue<>();
    private final AdapterResidency table;
    private final AdapterLoader loader;
    private final ExternalLoad foreign = new ExternalLoad();
    private final SlowStart slowStart;
    private final CrashDetector losses;

    private Target target;
    private boolean inService = true;
    private Optional<Epoch> epoch = Optional.empty();
    private Optional<BootId> boot = Optional.empty();
    private boolean fenced;
    private boolean awaitsReport;
    private boolean reporting;
    private long reportAskedNanos;
    private boolean reportAgain;
    private int failedReports;
    private boolean unreachable;
    private long trustedAfterNanos;
    private long ordersAfterNanos;
    private int inUse;
    private boolean serving;

    /**
     * Creates a target that this VM has not decided for yet.
     *
     * @param target the target
     * @param context what the targets share
     */
    OwnedTarget(final Target target, final GateContext context) {
        this.target = target;
        this.context = context;
        this.partition =
                context.ownership().partitionOf(SubjectKind.TARGET, target.id().value());
        this.table = new AdapterResidency(context.timers());
        this.loader = new AdapterLoader(context, this, table);
        this.slowStart = new SlowStart(target.concurrency());
        this.losses = new CrashDetector(target.id(), context);
    }

    /**
     * Waits until the target may run a request.
     *
     * @param request what is to run
     * @param trial the trial of a suspect; it ends with the request
     * @return the permit
     */
    Single<TargetPermit> acquire(final AdmissionRequest request, final Optional<CrashTrial> trial) {
        return Single.create(emitter -> {
            synchronise();
            final boolean needsLoad = request.adapter().isPresent()
                    && !table.usable(request.adapter().get());
            final QueuedRequest waiter = new QueuedRequest(request, emitter, trial, now(), needsLoad);
            final Optional<BalsambankException> refusal = refusal(request);
            if (refusal.isPresent()) {
                refuse(waiter, refusal.get());
            } else {
                enqueue(waiter);
            }
        });
    }

    /**
     * Takes over the configuration.
     *
     * @param updated the target
     * @param nowInService false if the target or its failure domain is out, or is no longer in the catalogue
     */
    void configure(final Target updated, final boolean nowInService) {
        target = updated;
        slowStart.changeMaximum(updated.concurrency());
        if (nowInService && !inService) {
            slowStart.restart();
        }
        inService = nowInService;
        tick();
    }

    /** Refuses what can wait no longer and goes on with the rest. */
    void tick() {
        synchronise();
        final Optional<ErrorKind> closed = closed();
        if (closed.isPresent()) {
            queue.removeIf(waiter -> true).forEach(waiter -> refuse(waiter, error(closed.get())));
            loader.reset();
            return;
        }
        if (awaitsReport && !reporting && now() - trustedAfterNanos >= 0) {
            reportNeeded();
        }
        if (queue.size() > 0 || loader.busy()) {
            queue.removeIf(waiter -> late(waiter.request()))
                    .forEach(waiter -> refuse(waiter, error(ErrorKind.DEADLINE_BEFORE_RUN)));
            wantMissing();
            serve();
        }
    }

    /** Asks the target for a report, if this VM decides for it and it is in service or still runs something. */
    void poll() {
        synchronise();
        if (epoch.isPresent() && (inService || inUse > 0)) {
            reportNeeded();
        }
    }

    /**
     * Tells whether nothing is known that a later request would need.
     *
     * @return true if the target may be forgotten
     */
    boolean idle() {
        return inUse == 0
                && queue.size() == 0
                && context.ownership().heldEpoch(partition).isEmpty();
    }

    /**
     * Returns the load.
     *
     * @return the requests that run or wait per permit of the present limit
     */
    double load() {
        return (inUse + foreign.estimate() + queue.size()) / (double) slowStart.limit();
    }

    /**
     * Returns the present limit.
     *
     * @return the number of permits
     */
    int limit() {
        return slowStart.limit();
    }

    @Override
    public Target target() {
        return target;
    }

    @Override
    public Optional<Epoch> epochToOrder() {
        final boolean early = awaitsReport || now() - ordersAfterNanos < 0;
        return closed().isPresent() || early ? Optional.empty() : heldNow();
    }

    @Override
    public boolean waitsFor(final AdapterRef adapter) {
        return queue.anyMatch(waiter -> waiter.runsOn(adapter));
    }

    @Override
    public void adaptersChanged() {
        loader.pump();
        serve();
    }

    @Override
    public void loadFailed(final AdapterRef adapter) {
        queue.removeIf(waiter -> waiter.runsOn(adapter))
                .forEach(waiter -> refuse(waiter, error(ErrorKind.ADAPTER_LOAD_FAILED)));
    }

    @Override
    public void fenced() {
        fenced = true;
        LOGGER.atWarning().log("event=target_fenced target=%s epoch=%s", target.id(), epoch.orElse(null));
        tick();
    }

    @Override
    public void reportNeeded() {
        if (reporting) {
            reportAgain = true;
            return;
        }
        reporting = true;
        reportAskedNanos = now();
        reportAgain = false;
        losses.reportAsked();
        report().subscribe(this::reported, error -> reportFailed());
    }

    @Override
    public Completable noticeRestart() {
        return report().doOnSuccess(this::accept).ignoreElement().onErrorComplete();
    }

    private Single<TargetReport> report() {
        return context.client()
                .report(target)
                .timeout(
                        REPORT_TIMEOUT.toNanos(),
                        TimeUnit.NANOSECONDS,
                        context.timers().scheduler());
    }

    private void synchronise() {
        final Optional<Epoch> held = context.ownership().heldEpoch(partition);
        if (held.isPresent() && !held.equals(epoch)) {
            epoch = held;
            fenced = false;
            awaitsReport = true;
            unreachable = false;
            failedReports = 0;
            final boolean first = held.get().equals(FIRST_EPOCH);
            trustedAfterNanos = now() + (first ? 0 : AdapterResidency.REPORT_LAG.toNanos());
            ordersAfterNanos = now() + (first ? 0 : EARLIER_ORDERS.toNanos());
            loader.reset();
            table.gained(trustedAfterNanos);
            reportNeeded();
        }
    }

    private void reported(final TargetReport report) {
        reporting = false;
        accept(report);
        if (awaitsReport && reportAskedNanos - trustedAfterNanos >= 0) {
            awaitsReport = false;
            slowStart.resume(report.running());
        }
        afterReport();
    }

    private void accept(final TargetReport report) {
        failedReports = 0;
        losses.reported(report.bootId());
        final boolean restarted = boot.isPresent() && !boot.get().equals(report.bootId());
        boot = Optional.of(report.bootId());
        if (restarted) {
            restart();
        }
        final int lost = table.reconcile(report);
        if (lost >= MIN_LOST_ADAPTERS && lost > table.size()) {
            restart();
        }
        foreign.reported(now(), report.running() + report.waiting(), inUse);
        if (unreachable) {
            unreachable = false;
            LOGGER.atInfo().log("event=target_reachable target=%s", target.id());
        }
    }

    private void restart() {
        LOGGER.atInfo().log("event=target_restarted target=%s", target.id());
        context.meters().restarted();
        slowStart.restart();
        foreign.reset();
        table.restarted();
        loader.reset();
    }

    private void reportFailed() {
        reporting = false;
        failedReports++;
        final boolean broke = losses.decides();
        losses.unreachable();
        if (!unreachable && (broke || awaitsReport || failedReports >= MAX_FAILED_REPORTS)) {
            unreachable = true;
            slowStart.restart();
            LOGGER.atWarning().log("event=target_unreachable target=%s", target.id());
        }
        afterReport();
    }

    private void afterReport() {
        tick();
        if (reportAgain || losses.needsReport()) {
            reportNeeded();
        }
    }

    private void wantMissing() {
        queue.forEach(waiter -> waiter.request()
                .adapter()
                .filter(adapter -> !table.usable(adapter))
                .ifPresent(adapter -> loader.want(adapter, waiter.request().trafficClass())));
        loader.pump();
    }

    private Optional<BalsambankException> refusal(final AdmissionRequest request) {
        final Optional<ErrorKind> closed = closed();
        if (closed.isPresent()) {
            return closed.map(this::error);
        }
        if (late(request)) {
            return Optional.of(error(ErrorKind.DEADLINE_BEFORE_RUN));
        }
        if (queue.size() >= Math.max(MIN_QUEUE, QUEUED_PER_PERMIT * slowStart.limit())) {
            return Optional.of(error(ErrorKind.OVERLOADED));
        }
        final Duration delay = request.adapter().map(loader::backoff).orElse(Duration.ZERO);
        if (delay.isNegative() || delay.isZero()) {
            return Optional.empty();
        }
        return Optional.of(new BalsambankException(
                ErrorKind.ADAPTER_LOAD_FAILED, "target " + target.id() + " could not load the adapter", delay));
    }

    private Optional<ErrorKind> closed() {
        if (!inService || unreachable) {
            return Optional.of(ErrorKind.NO_TARGET);
        }
        return heldNow().isEmpty() ? Optional.of(ErrorKind.NO_OWNER) : Optional.empty();
    }

    private Optional<Epoch> heldNow() {
        return fenced
                ? Optional.empty()
                : context.ownership().heldEpoch(partition).filter(held -> epoch.filter(held::equals)
                        .isPresent());
    }

    private void enqueue(final QueuedRequest waiter) {
        final AdmissionRequest request = waiter.request();
        final Team team = context.catalogues().current().teams().get(request.team());
        queue.add(request.trafficClass(), request.team(), team == null ? DEFAULT_TEAM_WEIGHT : team.weight(), waiter);
        waiter.emitter().setCancellable(() -> leave(waiter));
        if (waiter.needsLoad()) {
            loader.want(request.adapter().get(), request.trafficClass());
            loader.pump();
        }
        serve();
    }

    private void leave(final QueuedRequest waiter) {
        if (queue.remove(waiter.request().trafficClass(), waiter.request().team(), waiter)) {
            waiter.trial().ifPresent(CrashTrial::end);
        }
    }

    private void serve() {
        if (serving) {
            return;
        }
        serving = true;
        boolean more = true;
        while (more) {
            more = serveNext();
        }
        serving = false;
    }

    private boolean serveNext() {
        if (awaitsReport || closed().isPresent() || inUse + foreign.estimate() >= slowStart.limit()) {
            return false;
        }
        final Optional<QueuedRequest> next = queue.poll(this::ready);
        next.ifPresent(this::grant);
        return next.isPresent();
    }

    private boolean ready(final QueuedRequest waiter) {
        final Optional<AdapterRef> adapter = waiter.request().adapter();
        return adapter.isEmpty() || table.usable(adapter.get());
    }

    private void grant(final QueuedRequest waiter) {
        final PoisonRequestRegistry.Verdict verdict =
                context.poison().verdict(waiter.request().fingerprint());
        if (late(waiter.request())) {
            refuse(waiter, error(ErrorKind.DEADLINE_BEFORE_RUN));
        } else if (verdict == PoisonRequestRegistry.Verdict.POISON) {
            refuse(waiter, error(ErrorKind.POISON_REQUEST));
        } else if (verdict == PoisonRequestRegistry.Verdict.SUSPECT
                && waiter.trial().isEmpty()) {
            refuse(waiter, error(ErrorKind.OVERLOADED));
        } else {
            inUse++;
            context.invariants()
                    .check(
                            inUse <= slowStart.limit(),
                            Invariant.PERMITS_WITHIN_LIMIT,
                            () -> "target=" + target.id() + " inUse=" + inUse + " limit=" + slowStart.limit());
            foreign.inUse(now(), inUse);
            waiter.request().adapter().ifPresent(table::pin);
            context.meters().permit(now() - waiter.sinceNanos(), waiter.needsLoad());
            waiter.emitter().onSuccess(new Permit(waiter));
        }
    }

    private void refuse(final QueuedRequest waiter, final BalsambankException error) {
        context.meters().refused(error.kind());
        waiter.trial().ifPresent(CrashTrial::end);
        waiter.emitter().tryOnError(error);
    }

    private void released(final Permit permit, final TargetOutcome outcome) {
        final AdmissionRequest request = permit.waiter.request();
        final int before = inUse;
        inUse--;
        foreign.inUse(now(), inUse);
        final boolean ended = outcome != TargetOutcome.CANCELLED && outcome != TargetOutcome.LOST;
        request.adapter().ifPresent(adapter -> table.unpin(adapter, ended));
        if (outcome == TargetOutcome.COMPLETED) {
            slowStart.completed(now() - permit.sinceNanos, before);
        } else if (outcome == TargetOutcome.REFUSED) {
            slowStart.refused();
            request.adapter().ifPresent(table::distrust);
        } else if (outcome == TargetOutcome.LOST) {
            slowStart.restart();
            losses.broke(request.fingerprint(), permit.bootAtStart, permit.waiter.trial());
        }
        if (outcome != TargetOutcome.LOST) {
            permit.waiter.trial().ifPresent(CrashTrial::end);
        }
        if (outcome != TargetOutcome.COMPLETED && outcome != TargetOutcome.CANCELLED) {
            reportNeeded();
        }
        tick();
    }

    private boolean late(final AdmissionRequest request) {
        return request.deadlineNanos() - now() <= 0;
    }

    private long now() {
        return context.timers().nanoTime();
    }

    private BalsambankException error(final ErrorKind kind) {
        return new BalsambankException(kind, "target " + target.id() + " did not run the request");
    }

    /** A permit of this target. */
    private final class Permit implements TargetPermit {
        private final QueuedRequest waiter;
        private final Epoch permitEpoch = epoch.orElseThrow();
        private final BootId bootAtStart = boot.orElseThrow();
        private final long sinceNanos = now();
        private boolean released;

        Permit(final QueuedRequest waiter) {
            this.waiter = waiter;
        }

        @Override
        public Optional<Epoch> epochToSend() {
            return released || !inService ? Optional.empty() : heldNow().filter(permitEpoch::equals);
        }

        @Override
        public void release(final TargetOutcome outcome) {
            if (!released) {
                released = true;
                OwnedTarget.this.released(this, outcome);
            }
        }
    }
}
