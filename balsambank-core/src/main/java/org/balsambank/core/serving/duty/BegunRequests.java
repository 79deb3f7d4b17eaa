package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.time.TimerService;

/**
 * Counts the requests of this VM that targets began to run, by window and team.
 *
 * <p>While the true time is unknown, requests are kept by the monotonic time at which they began, for a bounded time,
 * and counted in their window once it is known. Confined to the decision loop.
 */
public final class BegunRequests {
    private static final long SLOT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAX_WAIT_NANOS = Duration.ofSeconds(30).toNanos();

    /** More windows than are reported at any time. */
    private static final int MAX_WINDOWS = 64;

    private final VmId self;
    private final long boot;
    private final long windowMillis;
    private final FleetClock clock;
    private final TimerService timer;
    private final TreeMap<Long, Map<TeamId, Long>> waiting = new TreeMap<>();
    private final TreeMap<Long, Map<TeamId, Long>> byWindow = new TreeMap<>();

    /**
     * Creates an instance without requests.
     *
     * @param self this VM
     * @param boot differs between the starts of this VM
     * @param window the length of a window
     * @param clock the true time
     * @param timer supplies the monotonic time
     */
    public BegunRequests(
            final VmId self, final long boot, final Duration window, final FleetClock clock, final TimerService timer) {
        this.self = Objects.requireNonNull(self);
        this.boot = boot;
        this.windowMillis = window.toMillis();
        this.clock = Objects.requireNonNull(clock);
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Counts a request.
     *
     * @param team the team of the caller
     * @param begunNanos when a target began to run it, on the monotonic clock
     */
    public void begun(final TeamId team, final long begunNanos) {
        waiting.computeIfAbsent(Math.floorDiv(begunNanos, SLOT_NANOS), ignored -> new HashMap<>())
                .merge(team, 1L, Long::sum);
    }

    /**
     * Counts in their windows what has begun, and raises this VM's rows.
     *
     * @param table the table of all VMs
     */
    public void publish(final UsageTable table) {
        if (!clock.known()) {
            waiting.headMap(Math.floorDiv(timer.nanoTime() - MAX_WAIT_NANOS, SLOT_NANOS))
                    .clear();
            return;
        }
        waiting.forEach((slot, counts) -> {
            final long window = Math.floorDiv(clock.millisAt(slot * SLOT_NANOS + SLOT_NANOS / 2), windowMillis);
            final Map<TeamId, Long> sums = byWindow.computeIfAbsent(window, ignored -> new HashMap<>());
            counts.forEach((team, count) -> sums.merge(team, count, Long::sum));
            table.raise(self, boot, window, sums, Optional.empty());
        });
        waiting.clear();
        while (byWindow.size() > MAX_WINDOWS) {
            byWindow.pollFirstEntry();
        }
    }
}
