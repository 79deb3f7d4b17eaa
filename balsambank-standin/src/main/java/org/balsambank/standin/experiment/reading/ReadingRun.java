package org.balsambank.standin.experiment.reading;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.standin.experiment.placement.ZipfSampler;

/**
 * Runs one pacing policy: VMs, which learn of the requests of other VMs from digests, send requests to simulated
 * targets.
 *
 * <p>Each adapter is loaded on two targets; a VM selects the one with fewer pending prompt tokens as far as it knows.
 * The same settings produce the same run. Confined to one thread.
 */
final class ReadingRun {
    private static final double MEDIAN_PROMPT_TOKENS = 1_730;
    private static final double PROMPT_LOG_STANDARD_DEVIATION = 0.73;
    private static final long MAX_PROMPT_TOKENS = 8_000;
    private static final double LONG_ANSWER_FRACTION = 0.2;
    private static final int SHORT_ANSWER_TOKENS = 22;
    private static final int LONG_ANSWER_TOKENS = 172;
    private static final double ADAPTER_SKEW = 1.2;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double TICK_MILLIS = 1;

    private final ReadingSettings settings;
    private final PacingPolicy policy;
    private final SplittableRandom random;
    private final ZipfSampler adapters;
    private final List<SimulatedRequest> completed = new ArrayList<>();
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final List<InFlightRequests> inFlightByVm = new ArrayList<>();
    private final PriorityQueue<DelayedRequest> delayed =
            new PriorityQueue<>(Comparator.comparingDouble(DelayedRequest::dueMillis));
    private double nowMillis;

    /**
     * Creates a run that has not started.
     *
     * @param settings the size and length of the run
     * @param policy determines the delay of each request
     */
    ReadingRun(final ReadingSettings settings, final PacingPolicy policy) {
        this.settings = settings;
        this.policy = policy;
        this.random = new SplittableRandom(settings.seed());
        this.adapters = new ZipfSampler(settings.adapters(), ADAPTER_SKEW, random);
        for (int i = 0; i < settings.targets(); i++) {
            targets.add(new SimulatedTarget(completed));
        }
        for (int i = 0; i < settings.vms(); i++) {
            inFlightByVm.add(new InFlightRequests());
        }
    }

    /**
     * Runs until all answers are complete.
     *
     * @param name the name of the policy
     * @return the measurements of the answers
     */
    ReadingResult run(final String name) {
        final double end = settings.seconds() * MILLIS_PER_SECOND;
        double nextArrival = nextInterArrivalMillis();
        double nextDigest = settings.digestMillis();
        while (nowMillis < end || !delayed.isEmpty() || !targets.stream().allMatch(SimulatedTarget::isIdle)) {
            nowMillis += TICK_MILLIS;
            targets.forEach(target -> target.advance(nowMillis));
            while (!delayed.isEmpty() && delayed.peek().dueMillis() <= nowMillis) {
                final DelayedRequest due = delayed.poll();
                targets.get(due.target()).submit(due.request(), nowMillis);
            }
            while (nextArrival <= nowMillis && nextArrival < end) {
                arrive();
                nextArrival += nextInterArrivalMillis();
            }
            if (nextDigest <= nowMillis) {
                exchangeDigests();
                nextDigest += settings.digestMillis();
            }
        }
        return ReadingResult.of(name, completed);
    }

    private double nextInterArrivalMillis() {
        return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / settings.ratePerSecond();
    }

    private void arrive() {
        final InFlightRequests inFlight = inFlightByVm.get(random.nextInt(settings.vms()));
        final int adapter = adapters.next();
        final long promptTokens = Math.min(
                MAX_PROMPT_TOKENS,
                Math.round(MEDIAN_PROMPT_TOKENS * Math.exp(PROMPT_LOG_STANDARD_DEVIATION * random.nextGaussian())));
        final boolean isLong = random.nextDouble() < LONG_ANSWER_FRACTION;
        final int target = lessLoadedTarget(inFlight, adapter);
        final InFlightRequests.Usage usage = inFlight.total(id(target));
        final InFlightRequests.InFlightRequest handle = inFlight.begin(id(target), promptTokens, Optional.empty());
        final SimulatedRequest request = new SimulatedRequest(
                nowMillis,
                promptTokens,
                isLong ? LONG_ANSWER_TOKENS : SHORT_ANSWER_TOKENS,
                isLong,
                handle::firstChunk,
                handle::end);
        delayed.add(
                new DelayedRequest(nowMillis + policy.delay(usage, promptTokens).toMillis(), target, request));
    }

    private int lessLoadedTarget(final InFlightRequests inFlight, final int adapter) {
        final int home = Math.floorMod(adapter * 7 + 3, settings.targets());
        final int other = Math.floorMod(home + 1 + adapter % (settings.targets() - 1), settings.targets());
        final long atHome = inFlight.total(id(home)).pendingPromptTokens();
        final long atOther = inFlight.total(id(other)).pendingPromptTokens();
        return atHome <= atOther ? home : other;
    }

    private void exchangeDigests() {
        for (int from = 0; from < inFlightByVm.size(); from++) {
            for (int to = 0; to < inFlightByVm.size(); to++) {
                if (from == to) {
                    continue;
                }
                for (int target = 0; target < settings.targets(); target++) {
                    inFlightByVm
                            .get(to)
                            .peerUsage(
                                    new VmId("vm" + from),
                                    id(target),
                                    inFlightByVm.get(from).own(id(target)));
                }
            }
        }
    }

    private static TargetId id(final int target) {
        return new TargetId("t" + target);
    }

    /** A request that a VM delays until its due time. */
    private record DelayedRequest(double dueMillis, int target, SimulatedRequest request) {}
}
