package org.balsambank.core.partition;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Prints the cost of partition ownership for several fleet sizes, in virtual time.
 *
 * <p>Run by {@code tools/measure-ownership}. Confined to one thread.
 */
public final class OwnershipScale {
    private static final long SEED = 1;
    private static final int DOMAINS = 6;
    private static final Duration START = Duration.ofSeconds(240);
    private static final Duration STEADY = Duration.ofSeconds(240);
    private static final Duration TAKE_OVER = Duration.ofSeconds(120);
    private static final Duration OUTAGE = Duration.ofSeconds(20);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int[] LARGE_SIZES = {7, 50, 150, 370};
    private static final int SMALL_SIZE = 7;

    private final PrintStream out;
    private final FleetFixture fleet;
    private final int size;

    private OwnershipScale(final PrintStream out, final OwnershipSettings settings, final int size) {
        this.out = out;
        this.size = size;
        fleet = new FleetFixture(settings, SEED);
    }

    /** Measures all sizes, or the sizes given as arguments with the settings of a large fleet. */
    public static void main(final String[] args) {
        if (args.length > 0) {
            for (final String size : args) {
                new OwnershipScale(System.out, OwnershipSettings.LARGE_FLEET, Integer.parseInt(size)).measure();
            }
            return;
        }
        System.out.println("settings of a small fleet");
        new OwnershipScale(System.out, OwnershipSettings.SMALL_FLEET, SMALL_SIZE).measure();
        System.out.println("settings of a large fleet");
        for (final int size : LARGE_SIZES) {
            new OwnershipScale(System.out, OwnershipSettings.LARGE_FLEET, size).measure();
        }
    }

    private void measure() {
        final long heapBefore = heap();
        fleet.startAll(size);
        phase("start", START);
        phase("steady", STEADY);
        out.printf("vms=%d heap_per_vm_kb=%.0f (with the fakes)%n", size, (heap() - heapBefore) / 1024.0 / size);
        for (int i = 0; i < size; i += DOMAINS) {
            fleet.get(i).kill();
        }
        phase("domain_dies", TAKE_OVER);
        for (int i = 0; i < size; i += DOMAINS) {
            fleet.start(i);
        }
        phase("domain_returns", Duration.ofSeconds(Math.max(120, 2L * size)));
        fleet.service.setOutage(true);
        phase("outage", OUTAGE);
        fleet.service.setOutage(false);
        phase("after_outage", TAKE_OVER);
    }

    private void phase(final String name, final Duration duration) {
        final Map<String, Integer> callsBefore = new TreeMap<>(fleet.service.calls());
        final double repairsBefore = swaps("REPAIR");
        final double handOversBefore = swaps("HAND_OVER");
        final long bytesBefore = bytes();
        final long messagesBefore = messages();
        final long cpuBefore = cpuNanos();
        long stepsNotAllOwned = 0;
        for (long i = 0; i < duration.toNanos() / STEP.toNanos(); i++) {
            fleet.clock.advanceTimeBy(STEP.toNanos(), TimeUnit.NANOSECONDS);
            if (fleet.heldCount() < fleet.settings.partitions()) {
                stepsNotAllOwned++;
            }
        }
        final double vmSeconds = (double) size * duration.toSeconds();
        final StringBuilder calls = new StringBuilder();
        double totalCalls = 0;
        for (final Map.Entry<String, Integer> entry : new TreeMap<>(fleet.service.calls()).entrySet()) {
            final int count = entry.getValue() - callsBefore.getOrDefault(entry.getKey(), 0);
            totalCalls += count;
            calls.append(String.format(" %s=%d", entry.getKey(), count));
        }
        out.printf(
                "vms=%d phase=%s seconds=%d owned=%d repair_swaps=%.0f hand_over_swaps=%.0f"
                        + " not_all_owned_s=%.1f kv_calls_per_vm_s=%.3f kv_calls_per_s=%.1f"
                        + " peer_payload_bytes_per_vm_s=%.1f peer_messages_per_vm_s=%.3f"
                        + " cpu_share_per_vm=%.5f calls:%s%n",
                size,
                name,
                duration.toSeconds(),
                fleet.heldCount(),
                swaps("REPAIR") - repairsBefore,
                swaps("HAND_OVER") - handOversBefore,
                stepsNotAllOwned * STEP.toMillis() / 1000.0,
                totalCalls / vmSeconds,
                totalCalls / duration.toSeconds(),
                (bytes() - bytesBefore) / vmSeconds,
                (messages() - messagesBefore) / vmSeconds,
                (cpuNanos() - cpuBefore) / 1e9 / vmSeconds,
                calls);
    }

    private double swaps(final String kind) {
        return fleet.counterSum("balsambank.ownership.swaps", "kind", kind, "result", "won");
    }

    private long bytes() {
        return fleet.vms.values().stream()
                .mapToLong(vm -> vm.transport.bytesSent())
                .sum();
    }

    private long messages() {
        return fleet.vms.values().stream()
                .mapToLong(vm -> vm.transport.messagesSent())
                .sum();
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long heap() {
        System.gc();
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
