package org.balsambank.core.catalogue.store;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.VmId;
import org.balsambank.core.time.TimerService;

/**
 * Tracks the last time at which this VM was known to have the latest catalogue.
 *
 * <p>Confined to the decision loop. This time is confirmed in three ways: by a response of the key-value service, as of
 * the time before the call; by a majority of the VMs that have no later catalogue, as of the time before the earliest
 * of these calls; and by another VM that passes on its own confirmed time.
 */
public final class Freshness implements IsolationGuard {
    /** How long a VM serves requests without a confirmation. */
    public static final Duration LIMIT = Duration.ofSeconds(4);

    private static final Duration MAX_AGE = Duration.ofDays(1);

    private final TimerService timers;
    private final Map<VmId, Long> peerCallNanos = new HashMap<>();
    private long confirmedNanos;

    /**
     * Creates a tracker without a confirmation.
     *
     * @param timers supplies the time
     */
    public Freshness(final TimerService timers) {
        this.timers = Objects.requireNonNull(timers);
        this.confirmedNanos = timers.nanoTime() - MAX_AGE.toNanos();
    }

    @Override
    public boolean isolated() {
        return age().compareTo(LIMIT) > 0;
    }

    /**
     * Returns the time since the last confirmation.
     *
     * @return the age, at most one day
     */
    Duration age() {
        final Duration age = Duration.ofNanos(timers.nanoTime() - confirmedNanos);
        return age.compareTo(MAX_AGE) > 0 ? MAX_AGE : age;
    }

    /**
     * Records that this VM has the catalogue that the key-value service returned.
     *
     * @param callNanos the monotonic time before the service was called
     */
    void confirmedByService(final long callNanos) {
        confirmedNanos = Math.max(confirmedNanos, callNanos);
    }

    /**
     * Records that another VM has no later catalogue.
     *
     * @param peer the other VM
     * @param callNanos the monotonic time before the other VM was called
     * @param peerAge the time since the last confirmation of the other VM
     * @param vms all VMs
     */
    void confirmedByPeer(final VmId peer, final long callNanos, final Duration peerAge, final List<VmId> vms) {
        confirmedNanos = Math.max(confirmedNanos, callNanos - peerAge.toNanos());
        peerCallNanos.put(peer, callNanos);
        peerCallNanos.keySet().retainAll(vms);
        confirmedNanos = Math.max(confirmedNanos, majorityNanos(vms.size()));
    }

    private long majorityNanos(final int vmCount) {
        final int neededPeers = vmCount / 2;
        if (neededPeers == 0 || peerCallNanos.size() < neededPeers) {
            return Long.MIN_VALUE;
        }
        return peerCallNanos.values().stream()
                .sorted(Comparator.reverseOrder())
                .skip(neededPeers - 1L)
                .findFirst()
                .orElse(Long.MIN_VALUE);
    }
}
