package org.balsambank.standin.experiment.placement;

import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.HdrHistogram.Histogram;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.target.AdmissionRequest;
import org.balsambank.core.target.LocalCrashTrials;
import org.balsambank.core.target.LocalLoadSlots;
import org.balsambank.core.target.OwnedTargetGate;
import org.balsambank.core.target.PoisonRequestRegistry;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.core.target.TargetPermit;
import org.balsambank.core.target.TargetSelector;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * Runs the requests of a seed with one placement policy, in virtual time.
 *
 * <p>Each policy observes the current load of all targets, and all policies use the same gate. Confined to one thread.
 */
final class PlacementRun {
    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final int MAX_ATTEMPTS = 3;

    private final PlacementSettings settings;
    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = SchedulerTimerService.ofVirtual(scheduler);
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private final PlacementFleet fleet;
    private final VirtualEngines engines = new VirtualEngines(timers);
    private final TargetSelector selector;
    private final OwnedTargetGate gate;
    private final Histogram stallWaits = new Histogram(3);
    private int sent;
    private int rejected;

    /**
     * Creates a run.
     *
     * @param settings the size and length of the run
     * @param selector creates the policy
     */
    PlacementRun(final PlacementSettings settings, final BiFunction<TimerService, Random, TargetSelector> selector) {
        this.settings = settings;
        this.fleet = new PlacementFleet(settings);
        this.selector = selector.apply(timers, new Random(settings.seed()));
        final PoisonRequestRegistry poison = new PoisonRequestRegistry(timers);
        this.gate = new OwnedTargetGate(
                new SoleOwnership(),
                fleet,
                engines,
                timers,
                new LocalLoadSlots(timers, invariants),
                poison,
                new LocalCrashTrials(poison),
                invariants,
                new SimpleMeterRegistry());
    }

    /**
     * Sends the requests, then takes a failure domain out of service and sends requests for the length of one deadline.
     *
     * @param name the name of the policy
     * @return the result; the drain time covers the second part, all other counts but loads and violations the first
     */
    PlacementResult run(final String name) {
        gate.run().subscribe();
        final Random random = new Random(settings.seed());
        final ZipfSampler zipf = new ZipfSampler(settings.adapters(), random);
        send(random, zipf, settings.duration());
        final double batch = engines.meanBatch();
        final int stalls = (int) stallWaits.getTotalCount();
        final int measuredSent = sent;
        final int measuredRejected = rejected;
        final long drainStartNanos = timers.nanoTime();
        fleet.takeOutOfService(Set.of(PlacementFleet.domain(0)));
        send(random, zipf, DEADLINE);
        scheduler.advanceTimeBy(DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
        return new PlacementResult(
                name,
                measuredSent,
                measuredRejected,
                stalls,
                stallWaits.getValueAtPercentile(50),
                stallWaits.getValueAtPercentile(95),
                stallWaits.getValueAtPercentile(99),
                batch,
                engines.loads(),
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastStartInDomain() - drainStartNanos)),
                invariants.violations().size());
    }

    private void send(final Random random, final ZipfSampler zipf, final Duration duration) {
        final long end = timers.nanoTime() + duration.toNanos();
        while (timers.nanoTime() < end) {
            final double gapSeconds = -Math.log(1 - random.nextDouble()) / settings.ratePerSecond();
            scheduler.advanceTimeBy((long) (gapSeconds * TimeUnit.SECONDS.toNanos(1)), TimeUnit.NANOSECONDS);
            final AdapterRef adapter = PlacementFleet.adapter(zipf.next());
            final long prefix = random.nextInt(100);
            sent++;
            new RequestAttempts(adapter, choose(adapter, prefix)).tryNext();
        }
    }

    private Iterator<Target> choose(final AdapterRef adapter, final long prefix) {
        fleet.current().targets().values().forEach(target -> gate.load(target.id())
                .ifPresent(load -> selector.observe(target, Optional.empty(), Optional.of(load))));
        return selector.forAdapter(fleet.current(), adapter, prefix).stream()
                .limit(MAX_ATTEMPTS)
                .iterator();
    }

    private long lastStartInDomain() {
        return fleet.current().targets().values().stream()
                .filter(target -> target.failureDomain().equals(PlacementFleet.domain(0)))
                .mapToLong(target -> engines.engine(target).lastStartNanos())
                .max()
                .orElse(0);
    }

    /** The attempts of one request. */
    private final class RequestAttempts {
        private final AdapterRef adapter;
        private final Iterator<Target> targets;
        private final long startNanos = timers.nanoTime();
        private boolean stalled;

        RequestAttempts(final AdapterRef adapter, final Iterator<Target> targets) {
            this.adapter = adapter;
            this.targets = targets;
        }

        void tryNext() {
            if (!targets.hasNext()) {
                rejected++;
                recordStall();
                return;
            }
            final Target target = targets.next();
            stalled |= !engines.engine(target).isLoaded(adapter);
            gate.acquire(new AdmissionRequest(
                            target.id(),
                            Optional.of(adapter),
                            PlacementFleet.TEAM,
                            TrafficClass.NORMAL,
                            new Fingerprint("request-" + sent),
                            startNanos + DEADLINE.toNanos()))
                    .flatMapCompletable(permit -> run(target, permit))
                    .subscribe(() -> {}, error -> tryNext());
        }

        private void recordStall() {
            if (stalled) {
                stallWaits.recordValue(TimeUnit.NANOSECONDS.toMillis(timers.nanoTime() - startNanos));
            }
        }

        private Completable run(final Target target, final TargetPermit permit) {
            recordStall();
            return engines.engine(target)
                    .run(adapter, settings.runTime())
                    .doOnComplete(() -> permit.release(TargetOutcome.COMPLETED));
        }
    }
}
