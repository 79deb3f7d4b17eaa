package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.request.AdmissionListener;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.OfferedRate;

/**
 * The load that callers offer to each service, at this VM and behind the edges of the tree.
 *
 * <p>A request counts when it has been admitted, whether a target takes it or not. Confined to the decision loop.
 */
public final class OfferedLoad implements AdmissionListener {
    private static final long SPAN_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_SERVICES = 64;

    private final TimerService timer;
    private final Map<ServiceName, Deque<Arrival>> recent = new HashMap<>();
    private final Map<VmId, Map<ServiceName, Rate>> received = new HashMap<>();

    /**
     * Creates an instance without requests.
     *
     * @param timer supplies the monotonic time
     */
    public OfferedLoad(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
    }

    @Override
    public void admitted(final ServiceName service, final long promptTokens) {
        final Deque<Arrival> arrivals = recent.computeIfAbsent(service, ignored -> new ArrayDeque<>());
        arrivals.addLast(new Arrival(timer.nanoTime(), promptTokens));
        dropOld(arrivals);
    }

    /**
     * Returns the load of all VMs on a service.
     *
     * @param service the service
     * @return the sum of the rates
     */
    public Rate total(final ServiceName service) {
        return sum(service, Set.of());
    }

    /**
     * Returns the loads of this VM and of those behind some edges of the tree.
     *
     * @param excluded the VMs at the other ends of the edges that are left out
     * @return one rate for each service with a load
     */
    public List<OfferedRate> report(final Set<VmId> excluded) {
        final Map<ServiceName, Boolean> services = new HashMap<>();
        recent.keySet().forEach(each -> services.put(each, true));
        received.values().forEach(rates -> rates.keySet().forEach(each -> services.put(each, true)));
        final List<OfferedRate> result = new ArrayList<>();
        for (final ServiceName service : services.keySet()) {
            final Rate rate = sum(service, excluded);
            if (rate.requestsPerSecond > 0 && result.size() < MAX_SERVICES) {
                result.add(OfferedRate.newBuilder()
                        .setService(service.value())
                        .setRequestsPerSecond(rate.requestsPerSecond)
                        .setPromptTokensPerSecond(rate.promptTokensPerSecond)
                        .build());
            }
        }
        return result;
    }

    /**
     * Replaces the loads behind an edge of the tree.
     *
     * @param other the VM at its other end
     * @param rates the loads on its side; an absent service has none
     */
    public void receive(final VmId other, final List<OfferedRate> rates) {
        final Map<ServiceName, Rate> decoded = new HashMap<>();
        for (final OfferedRate rate : rates.subList(0, Math.min(MAX_SERVICES, rates.size()))) {
            final double requests = rate.getRequestsPerSecond();
            final double tokens = rate.getPromptTokensPerSecond();
            if (Double.isFinite(requests) && Double.isFinite(tokens) && requests >= 0 && tokens >= 0) {
                decoded.put(new ServiceName(rate.getService()), new Rate(requests, tokens));
            }
        }
        received.put(other, decoded);
    }

    /**
     * Forgets the loads behind an edge of the tree.
     *
     * @param other the VM at its other end
     */
    public void remove(final VmId other) {
        received.remove(other);
    }

    private Rate sum(final ServiceName service, final Set<VmId> excluded) {
        final Deque<Arrival> arrivals = recent.getOrDefault(service, new ArrayDeque<>());
        dropOld(arrivals);
        double requests = arrivals.size() * 1e9 / SPAN_NANOS;
        double tokens = arrivals.stream().mapToLong(Arrival::promptTokens).sum() * 1e9 / SPAN_NANOS;
        for (final Map.Entry<VmId, Map<ServiceName, Rate>> each : received.entrySet()) {
            final Rate rate = each.getValue().get(service);
            if (rate != null && !excluded.contains(each.getKey())) {
                requests += rate.requestsPerSecond;
                tokens += rate.promptTokensPerSecond;
            }
        }
        return new Rate(requests, tokens);
    }

    private void dropOld(final Deque<Arrival> arrivals) {
        final long now = timer.nanoTime();
        while (!arrivals.isEmpty() && now - arrivals.peekFirst().nanos > SPAN_NANOS) {
            arrivals.pollFirst();
        }
    }

    /**
     * A load.
     *
     * @param requestsPerSecond the requests a second
     * @param promptTokensPerSecond the tokens of their prompts a second
     */
    public record Rate(double requestsPerSecond, double promptTokensPerSecond) {}

    /** An admitted request. */
    private record Arrival(long nanos, long promptTokens) {}
}
