package org.balsambank.standin.experiment.placement;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
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
import org.balsambank.core.target.RendezvousTargetSelector;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.target.Crash;
import org.balsambank.protocol.generated.target.CrashNotice;
import org.balsambank.protocol.generated.target.LoadSlotRequest;

/**
 * Measures what decisions about targets cost a VM, at several sizes.
 *
 * <p>Stateless and thread-safe.
 */
public final class TargetSlopes {
    private static final int[] SELECTOR_TARGETS = {13, 123, 740};
    private static final int[] OWNED_TARGETS = {2, 20, 200};
    private static final int CHOICES = 200_000;
    private static final int PERMITS_PER_TARGET = 2_000;
    private static final int SLOTS = 32;
    private static final int CONCURRENCY = 16;
    private static final String BOOT = "01234567-89ab-cdef-0123-456789abcdef";
    private static final String FINGERPRINT = "0123456789abcdef".repeat(4);

    private TargetSlopes() {}

    /**
     * Measures and prints the costs.
     *
     * @param out gets the table
     */
    public static void run(final PrintStream out) {
        final LoadSlotRequest slot = LoadSlotRequest.newBuilder()
                .setTrafficClass(TrafficClass.NORMAL.name())
                .build();
        out.printf("load slot request=%d bytes%n", slot.getSerializedSize());
        final CrashNotice notice = CrashNotice.newBuilder()
                .setCrash(Crash.newBuilder().setTarget("runner-123").setBootId(BOOT))
                .addFingerprints(FINGERPRINT)
                .build();
        out.printf("crash notice=%d bytes%n", notice.getSerializedSize());
        for (final int targets : SELECTOR_TARGETS) {
            choose(targets);
            out.printf("choice targets=%d cpu=%.2f us%n", targets, choose(targets));
        }
        for (final int targets : OWNED_TARGETS) {
            new Owned(targets).permits();
            final long before = heap();
            final Owned owned = new Owned(targets);
            final double cpu = owned.permits();
            final double idle = owned.idleSecond();
            final long after = heap();
            out.printf(
                    "owned targets=%d permit cpu=%.2f us, idle cpu=%.1f us a second each, heap=%d bytes each%n",
                    targets, cpu, idle, (after - before) / targets);
            owned.keep();
        }
    }

    private static double choose(final int targets) {
        final PlacementFleet fleet = new PlacementFleet(settings(targets));
        final TimerService timers = SchedulerTimerService.ofVirtual(new TestScheduler());
        final RendezvousTargetSelector selector =
                new RendezvousTargetSelector(timers, PlacementFleet.domain(0), new Random(1));
        final ZipfSampler zipf = new ZipfSampler(settings(targets).adapters(), new Random(1));
        final long start = cpuNanos();
        for (int i = 0; i < CHOICES; i++) {
            selector.forAdapter(fleet.current(), PlacementFleet.adapter(zipf.next()), i);
        }
        return micros(cpuNanos() - start) / CHOICES;
    }

    private static PlacementSettings settings(final int targets) {
        return new PlacementSettings(
                targets, 3_000, SLOTS, CONCURRENCY, 1, Duration.ofSeconds(1), Duration.ofSeconds(1), 1);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double micros(final long nanos) {
        return nanos / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    private static long heap() {
        System.gc();
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** A gate with targets whose engines hold all their adapters. */
    private static final class Owned {
        private final TestScheduler scheduler = new TestScheduler();
        private final TimerService timers = SchedulerTimerService.ofVirtual(scheduler);
        private final PlacementFleet fleet;
        private final VirtualEngines engines = new VirtualEngines(timers);
        private final OwnedTargetGate gate;
        private final List<Target> targets;

        Owned(final int count) {
            fleet = new PlacementFleet(settings(count));
            targets = new ArrayList<>(fleet.current().targets().values());
            final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
            final PoisonRequestRegistry poison = new PoisonRequestRegistry(timers);
            gate = new OwnedTargetGate(
                    new SoleOwnership(),
                    fleet,
                    engines,
                    timers,
                    new LocalLoadSlots(timers, invariants),
                    poison,
                    new LocalCrashTrials(poison),
                    invariants,
                    new SimpleMeterRegistry());
            targets.forEach(target -> {
                for (int i = 0; i < SLOTS; i++) {
                    engines.engine(target).loaded(PlacementFleet.adapter(i));
                }
            });
            scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
            gate.run().subscribe();
            scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        }

        double permits() {
            final long start = cpuNanos();
            for (int i = 0; i < PERMITS_PER_TARGET; i++) {
                final AdapterRef adapter = PlacementFleet.adapter(i % SLOTS);
                for (final Target target : targets) {
                    gate.acquire(request(target, adapter))
                            .subscribe(permit -> permit.release(TargetOutcome.COMPLETED), error -> {});
                }
            }
            return micros(cpuNanos() - start) / PERMITS_PER_TARGET / targets.size();
        }

        double idleSecond() {
            final int seconds = 60;
            final long start = cpuNanos();
            scheduler.advanceTimeBy(seconds, TimeUnit.SECONDS);
            return micros(cpuNanos() - start) / seconds / targets.size();
        }

        void keep() {
            if (gate.load(targets.get(0).id()).isEmpty()) {
                throw new IllegalStateException("the gate knows no target");
            }
        }

        private AdmissionRequest request(final Target target, final AdapterRef adapter) {
            return new AdmissionRequest(
                    target.id(),
                    Optional.of(adapter),
                    PlacementFleet.TEAM,
                    TrafficClass.NORMAL,
                    new Fingerprint("request"),
                    timers.nanoTime() + Duration.ofSeconds(1).toNanos());
        }
    }
}
