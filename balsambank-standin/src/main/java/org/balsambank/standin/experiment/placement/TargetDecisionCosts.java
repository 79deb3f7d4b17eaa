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
 * Measures the processor time, memory and message sizes of decisions about targets, for several numbers of targets.
 *
 * <p>Stateless and thread-safe.
 */
public final class TargetDecisionCosts {
    private static final int[] SELECTOR_TARGETS = {13, 123, 740};
    private static final int[] OWNED_TARGETS = {2, 20, 200};
    private static final int SELECTIONS = 200_000;
    private static final int PERMITS_PER_TARGET = 2_000;
    private static final int SLOTS = 32;
    private static final int CONCURRENCY = 16;
    private static final String BOOT = "01234567-89ab-cdef-0123-456789abcdef";
    private static final String FINGERPRINT = "0123456789abcdef".repeat(4);

    private TargetDecisionCosts() {}

    /**
     * Measures and prints the costs.
     *
     * @param out the destination of the table
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
            selectionMicros(targets);
            out.printf("choice targets=%d cpu=%.2f us%n", targets, selectionMicros(targets));
        }
        for (final int targets : OWNED_TARGETS) {
            new OwnedTargets(targets).permitMicros();
            final long before = usedHeapBytes();
            final OwnedTargets owned = new OwnedTargets(targets);
            final double cpu = owned.permitMicros();
            final double idle = owned.idleMicrosPerSecond();
            final long after = usedHeapBytes();
            out.printf(
                    "owned targets=%d permit cpu=%.2f us, idle cpu=%.1f us a second each, heap=%d bytes each%n",
                    targets, cpu, idle, (after - before) / targets);
            owned.keepReachable();
        }
    }

    private static double selectionMicros(final int targets) {
        final PlacementFleet fleet = new PlacementFleet(settings(targets));
        final TimerService timers = SchedulerTimerService.ofVirtual(new TestScheduler());
        final RendezvousTargetSelector selector =
                new RendezvousTargetSelector(timers, PlacementFleet.domain(0), new Random(1));
        final ZipfSampler zipf = new ZipfSampler(settings(targets).adapters(), new Random(1));
        final long start = cpuNanos();
        for (int i = 0; i < SELECTIONS; i++) {
            selector.forAdapter(fleet.current(), PlacementFleet.adapter(zipf.next()), i);
        }
        return micros(cpuNanos() - start) / SELECTIONS;
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

    private static long usedHeapBytes() {
        System.gc();
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** A gate with targets whose engines have all adapters of the requests loaded. */
    private static final class OwnedTargets {
        private final TestScheduler scheduler = new TestScheduler();
        private final TimerService timers = SchedulerTimerService.ofVirtual(scheduler);
        private final PlacementFleet fleet;
        private final VirtualEngines engines = new VirtualEngines(timers);
        private final OwnedTargetGate gate;
        private final List<Target> targets;

        OwnedTargets(final int count) {
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
                    engines.engine(target).completeLoad(PlacementFleet.adapter(i));
                }
            });
            scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
            gate.run().subscribe();
            scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        }

        double permitMicros() {
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

        double idleMicrosPerSecond() {
            final int seconds = 60;
            final long start = cpuNanos();
            scheduler.advanceTimeBy(seconds, TimeUnit.SECONDS);
            return micros(cpuNanos() - start) / seconds / targets.size();
        }

        void keepReachable() {
            if (gate.load(targets.get(0).id()).isEmpty()) {
                throw new IllegalStateException("the gate has no load report of the first target");
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
