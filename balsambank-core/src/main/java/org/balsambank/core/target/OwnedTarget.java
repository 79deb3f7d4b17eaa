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
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.port.TargetReport;

/**
 * Controls one target that this VM owns: its permits, its queue, and the loads and evictions of its adapters.
 *
 * <p>Invariants: a permit is granted and a command is sent only while this VM holds the current epoch; when a permit is
 * granted, the permits in use plus the requests of other VMs do not exceed the current limit; an adapter with a permit
 * in use is pinned. After this VM gains the partition, no permit is granted before a report includes every request of
 * the previous owner, and no command is sent while a command of the previous owner can still be in flight. Neither wait
 * applies to the first owner of a partition. Confined to the decision loop.
 */
final class OwnedTarget implements LoaderHost {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    /** The longest time that a request waits at a target that takes no more for now; others may take it. */
    private static final Duration MAX_TURN_WAIT = Duration.ofSeconds(1);

    private static final int MAX_FAILED_REPORTS = 3;
    private static final int QUEUED_PER_PERMIT = 4;
    private static final int MIN_QUEUE_LIMIT = 8;
    /** A report that lacks at least this many resident adapters, and more than remain, indicates a restart. */
    private static final int MIN_MISSING_ADAPTERS = 4;

    private static final double DEFAULT_TEAM_WEIGHT = 1;

    private final GateContext context;
    private final PartitionId partition;
    private final FairQueue<QueuedRequest> queue = new FairQueue<>();
    private final AdapterResidency residency;
    private final AdapterLoader loader;
    private final ExternalLoad externalLoad = new ExternalLoad();
    private final SlowStart slowStart;
    private final CrashDetector crashDetector;
    private final TargetEpoch epoch;
    private final OwnedTargetMarks marks;

    private Target target;
    private boolean inService = true;
    private Optional<BootId> boot = Optional.empty();
    private boolean reportInFlight;
    private long reportRequestedNanos;
    private boolean anotherReportNeeded;
    private int failedReports;
    private boolean unreachable;
    private int inUse;
    private boolean grantingPermits;

    /**
     * Creates the controller of a target, without an epoch yet.
     *
     * @param target the target as configured
     * @param context dependencies shared by all targets
     */
    OwnedTarget(final Target target, final GateContext context) {
        this.target = target;
        this.context = context;
        this.partition =
                context.ownership().partitionOf(SubjectKind.TARGET, target.id().value());
        this.residency = new AdapterResidency(context.timers());
        this.loader = new AdapterLoader(context, this, residency);
        this.slowStart = new SlowStart(target.concurrency());
        this.crashDetector = new CrashDetector(target.id(), context);
        this.epoch = new TargetEpoch(context.ownership(), partition, context.timers());
        this.marks = new OwnedTargetMarks(target.id());
    }

    /**
     * Queues a request until the target may run it.
     *
     * @param request the request to run
     * @param trial the trial, if the request is suspected of crashing targets; it ends with the request
     * @return the permit; disposing the subscription removes the request from the queue
     */
    Single<TargetPermit> acquire(final AdmissionRequest request, final Optional<CrashTrial> trial) {
        return Single.create(emitter -> {
            syncOwnership();
            final boolean needsLoad = request.adapter().isPresent()
                    && !residency.usable(request.adapter().get());
            final QueuedRequest queuedRequest = new QueuedRequest(request, emitter, trial, now(), needsLoad);
            final Optional<BalsambankException> rejection = rejection(request);
            if (rejection.isPresent()) {
                reject(queuedRequest, rejection.get());
            } else {
                enqueue(queuedRequest);
            }
        });
    }

    /**
     * Applies a new configuration.
     *
     * @param updated the target as now configured
     * @param nowInService false if the target or its failure domain is out of service, or the target is no longer in
     *     the catalogue
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

    /** Rejects queued requests that cannot run any more and grants permits to those that can. */
    void tick() {
        syncOwnership();
        final Optional<ErrorKind> unavailability = unavailability();
        if (unavailability.isPresent()) {
            queue.removeIf(queuedRequest -> true)
                    .forEach(queuedRequest -> reject(queuedRequest, error(unavailability.get())));
            loader.reset();
            return;
        }
        if (epoch.awaitsReport() && !reportInFlight && epoch.trustsReports()) {
            requestReport();
        }
        if (queue.size() > 0 || loader.hasPendingLoads()) {
            queue.removeIf(queuedRequest -> pastDeadline(queuedRequest.request()))
                    .forEach(queuedRequest -> reject(queuedRequest, error(ErrorKind.DEADLINE_BEFORE_RUN)));
            requestMissingAdapters();
            grantPermits();
        }
    }

    /** Requests a report if this VM owns the target and the target is in service or still runs requests. */
    void poll() {
        syncOwnership();
        if (epoch.newest().isPresent() && (inService || inUse > 0)) {
            requestReport();
        }
    }

    /**
     * Returns whether this state can be discarded.
     *
     * @return true if no permit is in use, no request is queued, and this VM does not own the target
     */
    boolean discardable() {
        return inUse == 0
                && queue.size() == 0
                && context.ownership().heldEpoch(partition).isEmpty();
    }

    /**
     * Returns the load of the target.
     *
     * @return the number of running or queued requests divided by the current permit limit
     */
    double load() {
        return (inUse + externalLoad.estimate() + queue.size()) / (double) slowStart.limit();
    }

    /**
     * Returns the current permit limit.
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
    public Optional<Epoch> commandEpoch() {
        return unavailability().isPresent() || epoch.commandsWait() ? Optional.empty() : epoch.current();
    }

    @Override
    public boolean hasQueuedFor(final AdapterRef adapter) {
        return queue.anyMatch(queuedRequest -> queuedRequest.runsOn(adapter));
    }

    @Override
    public void onAdaptersUsable() {
        loader.advanceLoads();
        grantPermits();
    }

    @Override
    public void onLoadFailed(final AdapterRef adapter) {
        queue.removeIf(queuedRequest -> queuedRequest.runsOn(adapter))
                .forEach(queuedRequest -> reject(queuedRequest, error(ErrorKind.ADAPTER_LOAD_FAILED)));
    }

    @Override
    public void onFenced() {
        epoch.fence();
        LOGGER.atWarning().log(
                "event=target_fenced target=%s epoch=%s",
                target.id(), epoch.newest().orElse(null));
        tick();
    }

    @Override
    public void requestReport() {
        if (reportInFlight) {
            anotherReportNeeded = true;
            return;
        }
        reportInFlight = true;
        reportRequestedNanos = now();
        anotherReportNeeded = false;
        crashDetector.reportRequested();
        report().subscribe(this::onReport, error -> onReportFailed());
    }

    @Override
    public Completable detectRestart() {
        return report().doOnSuccess(this::processReport).ignoreElement().onErrorComplete();
    }

    private Single<TargetReport> report() {
        return context.client()
                .report(target)
                .timeout(
                        REPORT_TIMEOUT.toNanos(),
                        TimeUnit.NANOSECONDS,
                        context.timers().scheduler());
    }

    private void syncOwnership() {
        if (epoch.adopt()) {
            unreachable = false;
            failedReports = 0;
            loader.reset();
            residency.ownershipGained(epoch.reportsTrustedAfterNanos());
            requestReport();
        }
    }

    private void onReport(final TargetReport report) {
        reportInFlight = false;
        processReport(report);
        if (epoch.reportArrived(reportRequestedNanos)) {
            slowStart.resumeAt(report.running());
        }
        afterReport();
    }

    private void processReport(final TargetReport report) {
        failedReports = 0;
        crashDetector.onReport(report.bootId());
        final boolean restarted = boot.isPresent() && !boot.get().equals(report.bootId());
        boot = Optional.of(report.bootId());
        if (restarted) {
            restart();
        }
        final int missing = residency.reconcile(report);
        if (missing >= MIN_MISSING_ADAPTERS && missing > residency.size()) {
            restart();
        }
        externalLoad.recordReport(now(), report.running() + report.waiting(), inUse);
        if (unreachable) {
            unreachable = false;
            LOGGER.atInfo().log("event=target_reachable target=%s", target.id());
        }
    }

    private void restart() {
        LOGGER.atInfo().log("event=target_restarted target=%s", target.id());
        context.meters().restarted();
        marks.restarted();
        slowStart.restart();
        externalLoad.reset();
        residency.restarted();
        loader.reset();
    }

    private void onReportFailed() {
        reportInFlight = false;
        failedReports++;
        final boolean decidesCrashes = crashDetector.hasAwaitingRequests();
        crashDetector.onReportFailed();
        if (!unreachable && (decidesCrashes || epoch.awaitsReport() || failedReports >= MAX_FAILED_REPORTS)) {
            unreachable = true;
            slowStart.restart();
            LOGGER.atWarning().log("event=target_unreachable target=%s", target.id());
        }
        afterReport();
    }

    private void afterReport() {
        tick();
        if (anotherReportNeeded || crashDetector.needsReport()) {
            requestReport();
        }
    }

    private void requestMissingAdapters() {
        queue.forEach(queuedRequest -> queuedRequest
                .request()
                .adapter()
                .filter(adapter -> !residency.usable(adapter))
                .ifPresent(adapter ->
                        loader.requestLoad(adapter, queuedRequest.request().trafficClass())));
        loader.advanceLoads();
    }

    private Optional<BalsambankException> rejection(final AdmissionRequest request) {
        final Optional<ErrorKind> unavailability = unavailability();
        if (unavailability.isPresent()) {
            return unavailability.map(this::error);
        }
        if (pastDeadline(request)) {
            return Optional.of(error(ErrorKind.DEADLINE_BEFORE_RUN));
        }
        if (queue.size() >= Math.max(MIN_QUEUE_LIMIT, QUEUED_PER_PERMIT * slowStart.limit())) {
            return Optional.of(error(ErrorKind.OVERLOADED));
        }
        final Duration turn = marks.untilAdmitted(queue.size(), now());
        if (turn.compareTo(MAX_TURN_WAIT) > 0 || turn.toNanos() > request.deadlineNanos() - now()) {
            return Optional.of(new BalsambankException(
                    ErrorKind.OVERLOADED, "target " + target.id() + " takes no request in time", turn));
        }
        final Duration delay = request.adapter().map(loader::backoff).orElse(Duration.ZERO);
        if (delay.isNegative() || delay.isZero()) {
            return Optional.empty();
        }
        return Optional.of(new BalsambankException(
                ErrorKind.ADAPTER_LOAD_FAILED, "target " + target.id() + " could not load the adapter", delay));
    }

    private Optional<ErrorKind> unavailability() {
        if (!inService || unreachable || marks.leaving()) {
            return Optional.of(ErrorKind.NO_TARGET);
        }
        return epoch.current().isEmpty() ? Optional.of(ErrorKind.NO_OWNER) : Optional.empty();
    }

    private void enqueue(final QueuedRequest queuedRequest) {
        final AdmissionRequest request = queuedRequest.request();
        final Team team = context.catalogues().current().teams().get(request.team());
        queue.add(
                request.trafficClass(),
                request.team(),
                team == null ? DEFAULT_TEAM_WEIGHT : team.weight(),
                queuedRequest);
        queuedRequest.emitter().setCancellable(() -> dequeue(queuedRequest));
        if (queuedRequest.needsLoad()) {
            loader.requestLoad(request.adapter().get(), request.trafficClass());
            loader.advanceLoads();
        }
        grantPermits();
    }

    private void dequeue(final QueuedRequest queuedRequest) {
        if (queue.remove(
                queuedRequest.request().trafficClass(), queuedRequest.request().team(), queuedRequest)) {
            queuedRequest.trial().ifPresent(CrashTrial::end);
        }
    }

    private void grantPermits() {
        if (grantingPermits) {
            return;
        }
        grantingPermits = true;
        boolean more = true;
        while (more) {
            more = grantNextPermit();
        }
        grantingPermits = false;
    }

    private boolean grantNextPermit() {
        if (epoch.awaitsReport()
                || unavailability().isPresent()
                || inUse + externalLoad.estimate() >= slowStart.limit()
                || !marks.admits(inUse, target.concurrency(), now())) {
            return false;
        }
        final Optional<QueuedRequest> next = queue.poll(this::ready);
        next.ifPresent(this::grant);
        return next.isPresent();
    }

    private boolean ready(final QueuedRequest queuedRequest) {
        final Optional<AdapterRef> adapter = queuedRequest.request().adapter();
        return adapter.isEmpty() || residency.usable(adapter.get());
    }

    private void grant(final QueuedRequest queuedRequest) {
        final PoisonRequestRegistry.Verdict verdict =
                context.poison().verdict(queuedRequest.request().fingerprint());
        if (pastDeadline(queuedRequest.request())) {
            reject(queuedRequest, error(ErrorKind.DEADLINE_BEFORE_RUN));
        } else if (verdict == PoisonRequestRegistry.Verdict.POISON) {
            reject(queuedRequest, error(ErrorKind.POISON_REQUEST));
        } else if (verdict == PoisonRequestRegistry.Verdict.SUSPECT
                && queuedRequest.trial().isEmpty()) {
            reject(queuedRequest, error(ErrorKind.OVERLOADED));
        } else {
            inUse++;
            context.invariants()
                    .check(
                            inUse <= slowStart.limit(),
                            Invariant.PERMITS_WITHIN_LIMIT,
                            () -> "target=" + target.id() + " inUse=" + inUse + " limit=" + slowStart.limit());
            externalLoad.recordInUse(now(), inUse);
            marks.sent(now());
            queuedRequest.request().adapter().ifPresent(residency::pin);
            context.meters().permit(now() - queuedRequest.queuedSinceNanos(), queuedRequest.needsLoad());
            queuedRequest.emitter().onSuccess(new Permit(queuedRequest));
        }
    }

    private void reject(final QueuedRequest queuedRequest, final BalsambankException error) {
        context.meters().rejected(error.kind());
        queuedRequest.trial().ifPresent(CrashTrial::end);
        queuedRequest.emitter().tryOnError(error);
    }

    private void onReleased(final Permit permit, final TargetOutcome outcome) {
        final AdmissionRequest request = permit.queuedRequest.request();
        final int inUseBefore = inUse;
        inUse--;
        externalLoad.recordInUse(now(), inUse);
        final boolean ended = outcome != TargetOutcome.CANCELLED && outcome != TargetOutcome.LOST;
        request.adapter().ifPresent(adapter -> residency.unpin(adapter, ended));
        if (outcome == TargetOutcome.COMPLETED) {
            slowStart.recordCompleted(now() - permit.sinceNanos, inUseBefore);
        } else if (outcome == TargetOutcome.REFUSED) {
            slowStart.recordRefused();
            request.adapter().ifPresent(residency::revalidate);
        } else if (outcome == TargetOutcome.LOST) {
            slowStart.restart();
            crashDetector.connectionBroken(request.fingerprint(), permit.bootAtStart, permit.queuedRequest.trial());
        }
        if (outcome != TargetOutcome.LOST) {
            permit.queuedRequest.trial().ifPresent(CrashTrial::end);
        }
        if (outcome != TargetOutcome.COMPLETED && outcome != TargetOutcome.CANCELLED) {
            requestReport();
        }
        tick();
    }

    private boolean pastDeadline(final AdmissionRequest request) {
        return request.deadlineNanos() - now() <= 0;
    }

    private long now() {
        return context.timers().nanoTime();
    }

    private BalsambankException error(final ErrorKind kind) {
        return new BalsambankException(kind, "target " + target.id() + " did not run the request");
    }

    /** A permit for this target. Confined to the decision loop. */
    private final class Permit implements TargetPermit {
        private final QueuedRequest queuedRequest;
        private final Epoch permitEpoch = epoch.newest().orElseThrow();
        private final BootId bootAtStart = boot.orElseThrow();
        private final long sinceNanos = now();
        private boolean released;

        Permit(final QueuedRequest queuedRequest) {
            this.queuedRequest = queuedRequest;
        }

        @Override
        public Optional<Epoch> epochToSend() {
            return released || !inService ? Optional.empty() : epoch.current().filter(permitEpoch::equals);
        }

        @Override
        public void noticed(final TargetNotice notice, final boolean rejected) {
            if (boot.filter(bootAtStart::equals).isPresent()) {
                marks.record(notice, rejected, sinceNanos, now());
            }
        }

        @Override
        public void release(final TargetOutcome outcome) {
            if (!released) {
                released = true;
                OwnedTarget.this.onReleased(this, outcome);
            }
        }
    }
}
