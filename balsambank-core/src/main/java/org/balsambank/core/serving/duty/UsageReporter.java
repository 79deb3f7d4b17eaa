package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.serving.placement.HeldClaim;
import org.balsambank.core.time.TimerService;

/**
 * Reports the windows of usage while this VM holds the duty.
 *
 * <p>For each window that has ended, it fixes the exact body, makes it durable, and sends it until it is accepted or
 * too late. Invariants: nothing is sent for a window before its body is durable, that is, stored in the key-value
 * service or, while no VM can reach that, known to all VMs; this VM never sends two bodies for a window; nothing is
 * sent without a valid claim. Confined to the decision loop.
 */
final class UsageReporter {
    /** The subject that all windows share. */
    static final ClaimSubject SUBJECT = ClaimSubject.duty("usage");

    /** The share of the time until a report is due in which counts of other VMs may still arrive. */
    private static final double SETTLE_SHARE = 0.4;

    private static final long MAX_SETTLE_MILLIS = 4_000;
    private static final long MARGIN_MILLIS = 400;
    private static final long MAX_WINDOWS_AT_ONCE = 32;
    private static final Duration FIRST_RETRY = Duration.ofMillis(250);
    private static final Duration MAX_RETRY = Duration.ofSeconds(2);
    /** How long rows of all VMs may take to arrive after this VM has begun to collect them. */
    private static final long COLLECT_NANOS = Duration.ofMillis(2_500).toNanos();
    /** How long a promise takes to reach all VMs along the tree. */
    private static final long SPREAD_NANOS = Duration.ofMillis(1_200).toNanos();

    private final DutySettings settings;
    private final UsageTable usage;
    private final PromisedReports promises;
    private final DutyClient client;
    private final KeyValueStore store;
    private final DutyPacer pacer;
    private final BooleanSupplier storeAwayForAll;
    private final BiConsumer<ClaimSubject, HeldClaim> onFenced;
    private final TimerService timer;
    private final DecisionLog log;
    private final DutyMetrics metrics;
    private final TreeMap<Long, Window> windows = new TreeMap<>();

    /**
     * Creates a reporter.
     *
     * @param settings the settings of the duties
     * @param usage the begun requests of all VMs
     * @param promises the promised reports
     * @param client makes the calls
     * @param store the key-value service
     * @param pacer spaces the calls
     * @param storeAwayForAll whether no VM can reach the key-value service
     * @param onFenced gives up a claim whose fencing token was rejected
     * @param timer supplies the monotonic time
     * @param log the decision log; gets a line for each promise and each report
     * @param metrics counts the outcomes
     */
    UsageReporter(
            final DutySettings settings,
            final UsageTable usage,
            final PromisedReports promises,
            final DutyClient client,
            final KeyValueStore store,
            final DutyPacer pacer,
            final BooleanSupplier storeAwayForAll,
            final BiConsumer<ClaimSubject, HeldClaim> onFenced,
            final TimerService timer,
            final DecisionLog log,
            final DutyMetrics metrics) {
        this.settings = Objects.requireNonNull(settings);
        this.usage = Objects.requireNonNull(usage);
        this.promises = Objects.requireNonNull(promises);
        this.client = Objects.requireNonNull(client);
        this.store = Objects.requireNonNull(store);
        this.pacer = Objects.requireNonNull(pacer);
        this.storeAwayForAll = Objects.requireNonNull(storeAwayForAll);
        this.onFenced = Objects.requireNonNull(onFenced);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        this.metrics = Objects.requireNonNull(metrics);
    }

    /**
     * Returns the first window whose report would still be in time.
     *
     * @param trueMillis the true time
     * @return the number of the window
     */
    long firstInTime(final long trueMillis) {
        return Math.floorDiv(
                trueMillis - settings.lateness().toMillis() + MARGIN_MILLIS,
                settings.window().toMillis());
    }

    private long lastSettled(final long trueMillis) {
        final long settle = Math.min(
                MAX_SETTLE_MILLIS, Math.round(SETTLE_SHARE * settings.lateness().toMillis()));
        return Math.floorDiv(trueMillis - settle, settings.window().toMillis()) - 1;
    }

    /**
     * Takes the next steps for the windows that are due.
     *
     * @param claim the claim of this VM, if it holds the duty
     * @param trueMillis the true time
     * @param collectingNanos how long this VM has collected the rows of all VMs
     */
    void step(final Optional<HeldClaim> claim, final long trueMillis, final long collectingNanos) {
        final long first = firstInTime(trueMillis);
        dropLate(first, claim.isPresent());
        if (claim.isEmpty()) {
            return;
        }
        promises.deletePast();
        final boolean collected = collectingNanos >= COLLECT_NANOS;
        final long collectingSince =
                trueMillis - Duration.ofNanos(collectingNanos).toMillis();
        final long last = Math.min(lastSettled(trueMillis), first + MAX_WINDOWS_AT_ONCE);
        for (long window = first; window <= last; window++) {
            final boolean seen =
                    usage.vms(window) > 0 || (window + 1) * settings.window().toMillis() > collectingSince;
            if (promises.find(window).isPresent() || collected && seen) {
                advance(claim.get(), window, windows.computeIfAbsent(window, ignored -> new Window()));
            }
        }
    }

    /** Drops what is too late; a VM that has lost the duty can't know what the next holder has reported. */
    private void dropLate(final long first, final boolean holds) {
        windows.headMap(first).forEach((number, window) -> {
            if (holds && !window.accepted) {
                metrics.windowLate();
                log.line("usage_late").with("window", number).write();
            }
        });
        windows.headMap(first).clear();
    }

    private void advance(final HeldClaim claim, final long number, final Window window) {
        if (window.accepted || window.busy || timer.nanoTime() - window.notBeforeNanos < 0) {
            return;
        }
        final Optional<PromisedReports.Promise> promise = promises.find(number);
        if (promise.isEmpty()) {
            promise(number, window);
        } else if (promise.get().stored() || knownToAllVms(promise.get())) {
            send(claim, number, window, promise.get().body());
        } else if (!promise.get().conflict()) {
            write(number, window, promise.get().body());
        }
    }

    private boolean knownToAllVms(final PromisedReports.Promise promise) {
        return !promise.conflict()
                && storeAwayForAll.getAsBoolean()
                && timer.nanoTime() - promise.sinceNanos() >= SPREAD_NANOS;
    }

    private void promise(final long number, final Window window) {
        if (window.body == null) {
            final UsageReport report = UsageReport.of(number, usage.sums(number));
            window.body = ByteString.copyFromUtf8(client.formatUsage(report));
            log.line("usage_promise")
                    .with("window", number)
                    .with("sum", report.sum())
                    .with("vms", usage.vms(number))
                    .write();
        }
        write(number, window, window.body);
    }

    private void write(final long number, final Window window, final ByteString body) {
        if (storeAwayForAll.getAsBoolean()) {
            promises.promiseToVms(number, body);
            return;
        }
        window.busy = true;
        store.compareAndSwap(PromisedReports.key(number), KeyValueStore.ABSENT, body, Optional.empty())
                .subscribe(
                        revision -> {
                            window.busy = false;
                            promises.stored(number, body, revision);
                        },
                        error -> {
                            window.busy = false;
                            window.notBeforeNanos = timer.nanoTime() + FIRST_RETRY.toNanos();
                            log.line("usage_promise_failed")
                                    .with("window", number)
                                    .with("reason", String.valueOf(error.getMessage()))
                                    .write();
                            promises.reload(number);
                        });
    }

    private void send(final HeldClaim claim, final long number, final Window window, final ByteString body) {
        if (!claim.valid() || !pacer.tryCall(SUBJECT)) {
            return;
        }
        window.busy = true;
        client.reportUsage(claim, body.toStringUtf8())
                .subscribe(outcome -> ended(claim, number, window, outcome, client.usageSum(body.toStringUtf8())));
    }

    private void ended(
            final HeldClaim claim, final long number, final Window window, final DutyOutcome outcome, final long sum) {
        window.busy = false;
        window.accepted = outcome == DutyOutcome.ACCEPTED;
        window.attempts++;
        log.line("usage_report")
                .with("window", number)
                .with("fence", claim.fence())
                .with("attempt", window.attempts)
                .with("sum", sum)
                .with("outcome", outcome.name())
                .write();
        metrics.call(DutyKind.USAGE_REPORT, outcome);
        if (window.accepted) {
            metrics.windowReported();
        } else if (outcome == DutyOutcome.FENCED) {
            onFenced.accept(SUBJECT, claim);
        } else {
            window.notBeforeNanos = timer.nanoTime() + window.retry.toNanos();
            final Duration doubled = window.retry.multipliedBy(2);
            window.retry = doubled.compareTo(MAX_RETRY) < 0 ? doubled : MAX_RETRY;
        }
    }

    /** What this VM did for a window. Confined to the decision loop. */
    private final class Window {
        private ByteString body;
        private boolean accepted;
        private boolean busy;
        private int attempts;
        private long notBeforeNanos = timer.nanoTime();
        private Duration retry = FIRST_RETRY;
    }
}
