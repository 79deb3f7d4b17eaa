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
 * Sends the same requests through one way of placement, in virtual time.
 *
 * <p>Every way of placement knows the present load of all targets, and all use the same gate. Confined to one thread.
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
    private final Histogram waits = new Histogram(3);
    private int sent;
    private int refused;

    /**
     * Creates a run.
     *
     * @param settings the size
     * @param selector makes the way of placement
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
     * Sends the requests.
     *
     * @param name the name of the way of placement
     * @return what it gave
     */
    PlacementResult run(final String name) {
        gate.run().subscribe();
        final Random random = new Random(settings.seed());
        final ZipfSampler zipf = new ZipfSampler(settings.adapters(), random);
        send(random, zipf, settings.duration());
        final double batch = engines.meanBatch();
        final int stalls = (int) waits.getTotalCount();
        final int sentBefore = sent;
        final int refusedBefore = refused;
        final long outNanos = timers.nanoTime();
        fleet.domainsOut(Set.of(PlacementFleet.domain(0)));
        send(random, zipf, DEADLINE);
        scheduler.advanceTimeBy(DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
        return new PlacementResult(
                name,
                sentBefore,
                refusedBefore,
                stalls,
                waits.getValueAtPercentile(50),
                waits.getValueAtPercentile(95),
                waits.getValueAtPercentile(99),
                batch,
                engines.loads(),
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastStartInDomain() - outNanos)),
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
            new Attempts(adapter, choose(adapter, prefix)).next();
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
    private final class Attempts {
        private final AdapterRef adapter;
        private final Iterator<Target> targets;
        private final long startNanos = timers.nanoTime();
        private boolean stalled;

        Attempts(final AdapterRef adapter, final Iterator<Target> targets) {
            this.adapter = adapter;
            this.targets = targets;
        }

        void next() {
            if (!targets.hasNext()) {
                refused++;
                recordStall();
                return;
            }
            final Target target = targets.next();
            stalled |= !engines.engine(target).holds(adapter);
            gate.acquire(new AdmissionRequest(
                            target.id(),
                            Optional.of(adapter),
                            PlacementFleet.TEAM,
                            TrafficClass.NORMAL,
                            new Fingerprint("request-" + sent),
                            startNanos + DEADLINE.toNanos()))
                    .flatMapCompletable(permit -> run(target, permit))
                    .subscribe(() -> {}, error -> next());
        }

        private void recordStall() {
            if (stalled) {
                waits.recordValue(TimeUnit.NANOSECONDS.toMillis(timers.nanoTime() - startNanos));
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
