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
 * One run of one policy: VMs that hear of each other by digests send the same requests to the same kind of targets.
 *
 * <p>An adapter stands at two targets; the VM takes the one that it believes to have less to read. Confined to one
 * thread; a settings record gives the same run each time.
 */
final class ReadingRun {
    private static final double MEDIAN_PROMPT = 1_730;
    private static final double PROMPT_SPREAD = 0.73;
    private static final long MOST_PROMPT = 8_000;
    private static final double LONG_SHARE = 0.2;
    private static final int SHORT_ANSWER = 22;
    private static final int LONG_ANSWER = 172;
    private static final double ADAPTER_SKEW = 1.2;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double TICK_MILLIS = 1;

    private final ReadingSettings settings;
    private final ReadingPolicy policy;
    private final SplittableRandom random;
    private final ZipfSampler adapters;
    private final List<ReadingStream> whole = new ArrayList<>();
    private final List<ReadingTarget> targets = new ArrayList<>();
    private final List<InFlightRequests> books = new ArrayList<>();
    private final PriorityQueue<Held> held = new PriorityQueue<>(Comparator.comparingDouble(Held::dueMillis));
    private double nowMillis;

    /**
     * Creates a run that has not begun.
     *
     * @param settings its size and length
     * @param policy tells how long requests are held back
     */
    ReadingRun(final ReadingSettings settings, final ReadingPolicy policy) {
        this.settings = settings;
        this.policy = policy;
        this.random = new SplittableRandom(settings.seed());
        this.adapters = new ZipfSampler(settings.adapters(), ADAPTER_SKEW, random);
        for (int i = 0; i < settings.targets(); i++) {
            targets.add(new ReadingTarget(whole));
        }
        for (int i = 0; i < settings.vms(); i++) {
            books.add(new InFlightRequests());
        }
    }

    /**
     * Runs until all answers are whole.
     *
     * @param name the name of the policy
     * @return what became of the answers
     */
    ReadingResult run(final String name) {
        final double end = settings.seconds() * MILLIS_PER_SECOND;
        double nextArrival = gap();
        double nextDigest = settings.digestMillis();
        while (nowMillis < end || !held.isEmpty() || !targets.stream().allMatch(ReadingTarget::idle)) {
            nowMillis += TICK_MILLIS;
            targets.forEach(target -> target.advance(nowMillis));
            while (!held.isEmpty() && held.peek().dueMillis() <= nowMillis) {
                final Held due = held.poll();
                targets.get(due.target()).take(due.stream(), nowMillis);
            }
            while (nextArrival <= nowMillis && nextArrival < end) {
                arrive();
                nextArrival += gap();
            }
            if (nextDigest <= nowMillis) {
                tell();
                nextDigest += settings.digestMillis();
            }
        }
        return ReadingResult.of(name, whole);
    }

    private double gap() {
        return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / settings.ratePerSecond();
    }

    private void arrive() {
        final InFlightRequests book = books.get(random.nextInt(settings.vms()));
        final int adapter = adapters.next();
        final long prompt =
                Math.min(MOST_PROMPT, Math.round(MEDIAN_PROMPT * Math.exp(PROMPT_SPREAD * random.nextGaussian())));
        final boolean isLong = random.nextDouble() < LONG_SHARE;
        final int target = lessToRead(book, adapter);
        final InFlightRequests.Usage use = book.total(id(target));
        final InFlightRequests.InFlightRequest flight = book.begin(id(target), prompt, Optional.empty());
        final ReadingStream stream = new ReadingStream(
                nowMillis, prompt, isLong ? LONG_ANSWER : SHORT_ANSWER, isLong, flight::firstChunk, flight::end);
        held.add(new Held(nowMillis + policy.wait(use, prompt).toMillis(), target, stream));
    }

    private int lessToRead(final InFlightRequests book, final int adapter) {
        final int home = Math.floorMod(adapter * 7 + 3, settings.targets());
        final int other = Math.floorMod(home + 1 + adapter % (settings.targets() - 1), settings.targets());
        final long atHome = book.total(id(home)).pendingPromptTokens();
        final long atOther = book.total(id(other)).pendingPromptTokens();
        return atHome <= atOther ? home : other;
    }

    private void tell() {
        for (int from = 0; from < books.size(); from++) {
            for (int to = 0; to < books.size(); to++) {
                if (from == to) {
                    continue;
                }
                for (int target = 0; target < settings.targets(); target++) {
                    books.get(to)
                            .peerUsage(
                                    new VmId("vm" + from),
                                    id(target),
                                    books.get(from).own(id(target)));
                }
            }
        }
    }

    private static TargetId id(final int target) {
        return new TargetId("t" + target);
    }

    /** A request that a VM holds back. */
    private record Held(double dueMillis, int target, ReadingStream stream) {}
}
