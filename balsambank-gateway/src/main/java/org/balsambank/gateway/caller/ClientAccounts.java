package org.balsambank.gateway.caller;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;

/**
 * What all clients of a VM hold: connections, the heads and bodies of requests, what was read and not decoded, and
 * responses that they don't read.
 *
 * <p>If a limit would be exceeded, the client is dropped that holds most for longest and has sent least of its request.
 * A client whose request runs is never dropped. A large request may not take the last quarter of the memory, so that
 * small ones are served while large ones run.
 *
 * <p>Invariant: no limit is exceeded by more than what one read adds. Confined to the decision loop.
 */
public final class ClientAccounts {
    /** More than an ordinary head or a read holds. */
    private static final long SMALL_BYTES = 65_536;

    private static final int LARGE_REQUEST_PARTS = 4;
    private static final int NEW_CLIENT_WEIGHT = 4;
    private static final double RECEIVED_UNIT = 1_024;
    private static final String DROPPED = "balsambank.clients.dropped";
    private static final String REFUSED = "balsambank.clients.refused";

    private final ClientLimits limits;
    private final TimerService timer;
    private final DecisionLog log;
    private final MeterRegistry registry;
    private final MemoryBudget heap;
    private final MemoryBudget direct;
    private final Set<ClientAccount> open = new HashSet<>();
    private int pausedReaders;

    /** What memory is reserved of. */
    enum Kind {
        HEAP,
        DIRECT
    }

    /**
     * Creates accounts of no clients.
     *
     * @param limits the limits
     * @param timer the clock
     * @param log gets a line for each client that is dropped
     * @param registry the metrics
     */
    public ClientAccounts(
            final ClientLimits limits, final TimerService timer, final DecisionLog log, final MeterRegistry registry) {
        this.limits = Objects.requireNonNull(limits);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        this.registry = Objects.requireNonNull(registry);
        heap = new MemoryBudget(limits.maxHeapBytes());
        direct = new MemoryBudget(limits.maxDirectBytes());
        registry.gauge("balsambank.clients.connections", open, Set::size);
        registry.gauge("balsambank.clients.heap.bytes", heap, MemoryBudget::reservedBytes);
        registry.gauge("balsambank.clients.direct.bytes", direct, MemoryBudget::reservedBytes);
    }

    /**
     * Opens an account for a new connection, for which another client may be dropped.
     *
     * @param client the client
     * @return the account; empty if there are too many connections, and the new one must be closed
     */
    Optional<ClientAccount> open(final ClientAccount.Client client) {
        while (open.size() >= limits.maxConnections()) {
            final Optional<ClientAccount> worst = worst(each -> true, this::connectionCost);
            if (worst.isEmpty()) {
                registry.counter(REFUSED, "reason", "connections").increment();
                return Optional.empty();
            }
            drop(worst.get(), "connections");
        }
        final ClientAccount account = new ClientAccount(this, client, timer.nanoTime());
        open.add(account);
        return Optional.of(account);
    }

    /** Removes a closed account, which holds nothing. */
    void remove(final ClientAccount account) {
        open.remove(account);
    }

    /**
     * Reserves memory, for which other clients may be dropped.
     *
     * @return false if it is not available
     */
    boolean reserve(final ClientAccount account, final Kind kind, final long bytes) {
        if (!makeRoom(account, kind, bytes)) {
            registry.counter(REFUSED, "reason", reason(kind)).increment();
            return false;
        }
        return budget(kind).reserve(bytes);
    }

    /** Records memory that is in use already, for which other clients may be dropped. */
    void add(final ClientAccount account, final Kind kind, final long bytes) {
        makeRoom(account, kind, bytes);
        budget(kind).add(bytes);
    }

    /** Releases memory. */
    void release(final Kind kind, final long bytes) {
        budget(kind).release(bytes);
    }

    private boolean makeRoom(final ClientAccount account, final Kind kind, final long bytes) {
        final long max = kind == Kind.HEAP ? limits.maxHeapBytes() : limits.maxDirectBytes();
        final boolean large = account.held(kind) + bytes > SMALL_BYTES;
        final long allowed = large ? max - max / LARGE_REQUEST_PARTS : max;
        while (budget(kind).reservedBytes() + bytes > allowed) {
            final Optional<ClientAccount> worst =
                    worst(each -> each != account && each.held(kind) > 0, each -> memoryCost(each, kind));
            if (worst.isEmpty()) {
                return false;
            }
            drop(worst.get(), reason(kind));
        }
        return true;
    }

    private Optional<ClientAccount> worst(
            final Predicate<ClientAccount> candidate, final ToDoubleFunction<ClientAccount> cost) {
        return open.stream()
                .filter(candidate)
                .filter(account -> account.client().droppable())
                .max(Comparator.comparingDouble(cost));
    }

    private double memoryCost(final ClientAccount account, final Kind kind) {
        return account.held(kind) * connectionCost(account);
    }

    private double connectionCost(final ClientAccount account) {
        final double ageMillis = 1 + (timer.nanoTime() - account.sinceNanos()) / 1e6;
        final int weight = account.requests() == 0 ? NEW_CLIENT_WEIGHT : 1;
        return weight * ageMillis / (1 + account.receivedBytes() / RECEIVED_UNIT);
    }

    private void drop(final ClientAccount account, final String reason) {
        registry.counter(DROPPED, "reason", reason).increment();
        log.line("client_dropped")
                .with("reason", reason)
                .with("heap", account.held(Kind.HEAP))
                .with("direct", account.held(Kind.DIRECT))
                .with("received", account.receivedBytes())
                .with("after_ms", (timer.nanoTime() - account.sinceNanos()) / 1_000_000)
                .write();
        account.close();
        account.client().drop();
    }

    private MemoryBudget budget(final Kind kind) {
        return kind == Kind.HEAP ? heap : direct;
    }

    private static String reason(final Kind kind) {
        return kind == Kind.HEAP ? "heap" : "direct";
    }

    /** Returns the monotonic time in nanoseconds. */
    long nanoTime() {
        return timer.nanoTime();
    }

    /** Returns the number of clients that are not being read for a while. */
    int pausedReaders() {
        return pausedReaders;
    }

    /** Records that a client is not read for a while. */
    void readerPaused() {
        pausedReaders++;
    }

    /** Records that a client is read again, or closed. */
    void readerResumed() {
        pausedReaders--;
    }
}
