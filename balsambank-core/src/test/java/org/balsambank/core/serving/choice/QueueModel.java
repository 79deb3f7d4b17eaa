package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.load.LoadReport;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.load.ServerLoad;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.MemorySize;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * A model of many VMs that send requests to the targets of one service, in virtual time and without network.
 *
 * <p>Engines read one prompt after another and run 64 requests; targets of plain services run 6. In 15 of 100 targets
 * work takes 2.5 times as long for 600 ms at a time. VMs hear of the requests of others 200 to 400 ms late, and of new
 * reports 100 to 300 ms late, as along the tree of digests. The choice is made by the product's policies. Confined to
 * one thread.
 */
final class QueueModel {
    /** The compared options, by their letters in docs/design/eras-duties-load.md. */
    enum Option {
        A_LEAST_COST,
        B_TWO_RANDOM,
        B_FOUR_RANDOM,
        C_WEIGHTED,
        D_SUBSET,
        E_GRANTED,
        F_CORRECTED,
        CHANCE
    }

    /** The figures of a run. */
    record Result(
            double lateShare,
            double rejectedShare,
            double peakToMean,
            double reportsPerSecond,
            double callsPerVmSecond) {}

    private static final ServiceName SERVICE = new ServiceName("s");
    private static final VmId OTHERS = new VmId("others");
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final double TOKENS_PER_MILLI = 19;
    private static final double STEP_MILLIS = 12;
    private static final double PLAIN_MILLIS = 60;
    private static final int PLAIN_SLOTS = 6;
    private static final int ENGINE_SLOTS = 64;
    private static final long DECODE_MILLIS = 1_500;
    private static final double SLOW = 2.5;
    private static final double SLOW_SHARE = 0.15;
    private static final long SLOW_MILLIS = 600;
    private static final double HOP_MILLIS = 0.8;
    private static final long DIGEST_MILLIS = 100;
    private static final int HISTORY = 8;
    private static final int MAX_SENDS = 4;
    private static final long WARM_UP_MILLIS = 2_000;

    private final TestScheduler clock = new TestScheduler();
    private final TimerService timer = new FakeDecisionLoop(clock).timer();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final Option option;
    private final boolean engines;
    private final ServiceSpec spec;
    private final TargetTable table = new TargetTable(timer, DecisionLog.NONE);
    private final CandidateFilter filter;
    private final SendPermits permits;
    private final List<Target> targets = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private PlaceKeeper keeper;
    private ReportedLoads keeperLoads;
    private long nowNanos;
    private long sequence;
    private long requests;
    private long late;
    private long sends;
    private long rejected;
    private long reports;
    private long calls;
    private double peakSum;
    private double meanSum;

    QueueModel(final Option option, final boolean engines, final int vmCount, final int targetCount, final long seed) {
        this.option = option;
        this.engines = engines;
        random = new SplittableRandom(seed);
        spec = new ServiceSpec(
                SERVICE,
                0,
                0,
                0,
                engines
                        ? Optional.of(new EngineSpec(ENGINE_SLOTS, 0, 6, MemorySize.ZERO, 0, List.of()))
                        : Optional.empty());
        final FleetView fleet = new Fleet(vmCount);
        permits = new SendPermits(new TargetLimits(table, timer, DecisionLog.NONE), fleet, timer);
        filter = new CandidateFilter(
                table, new InFlightRequests(), new ColdTargetLimiter(timer, fleet, 1, 1), permits, timer);
        for (int i = 0; i < targetCount; i++) {
            final Target target = new Target(i);
            targets.add(target);
            table.recordAnnouncement(target.announcement, i + 1);
            at(random.nextDouble() * 3_400, target::becomeSlow);
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm(i));
        }
        createKeeper();
    }

    private void createKeeper() {
        final Vm vm = vms.get(0);
        keeperLoads = vm.loads;
        final HeldPlaces places = new HeldPlaces(new InFlightRequests(), timer);
        final PlainEstimate plain = new PlainEstimate(vm.performance, permits, true);
        keeper = new PlaceKeeper(
                filter,
                places,
                new ReportedPlainPolicy(places, vm.loads, plain, DOMAIN, CandidateSelection::leastCost),
                new ReportedEnginePolicy(engineEstimate(places, vm), vm.loads, CandidateSelection::leastCost, timer),
                new AdapterWaits(timer),
                timer,
                random);
    }

    private EngineEstimate engineEstimate(final UsageView usages, final Vm vm) {
        return new EngineEstimate(
                usages,
                vm.inFlight,
                new ResidencyTable(),
                target -> false,
                vm.performance,
                vm.models,
                permits,
                Optional.empty());
    }

    /** Plays some seconds of requests at a share of the capacity. */
    Result run(final double utilisation, final long millis) {
        final double usualPace = 1 / (1 + SLOW_SHARE * (SLOW - 1));
        final double perSecond = engines
                ? targets.size() * usualPace * 1e3 / (meanTokens() / TOKENS_PER_MILLI + STEP_MILLIS)
                : targets.size() * usualPace * PLAIN_SLOTS * 1e3 / PLAIN_MILLIS;
        arrive(1e3 / (perSecond * utilisation));
        at(DIGEST_MILLIS, this::exchange);
        while (!events.isEmpty() && events.peek().atNanos < millis * 1_000_000) {
            final Event event = events.poll();
            nowNanos = event.atNanos;
            clock.advanceTimeTo(nowNanos, TimeUnit.NANOSECONDS);
            event.action.run();
        }
        final double seconds = (millis - WARM_UP_MILLIS) / 1e3;
        return new Result(
                (double) late / requests,
                (double) rejected / sends,
                peakSum / Math.max(1e-9, meanSum),
                reports / seconds,
                calls / seconds / vms.size());
    }

    private void arrive(final double meanMillis) {
        at(-Math.log(1 - random.nextDouble()) * meanMillis, () -> {
            new Request(vms.get(random.nextInt(vms.size()))).choose();
            arrive(meanMillis);
        });
    }

    private static double meanTokens() {
        return 1_500;
    }

    private boolean counted() {
        return nowNanos > WARM_UP_MILLIS * 1_000_000;
    }

    private void at(final double delayMillis, final Runnable action) {
        events.add(new Event(nowNanos + (long) (delayMillis * 1e6), sequence++, action));
    }

    /** Lets each VM hear of the requests of the others, as they were some time ago. */
    private void exchange() {
        double peak = 0;
        double sum = 0;
        for (final Target target : targets) {
            target.remember();
            final double load = target.load();
            peak = Math.max(peak, load);
            sum += load;
        }
        if (counted()) {
            peakSum += peak;
            meanSum += sum / targets.size();
        }
        vms.forEach(Vm::hear);
        at(DIGEST_MILLIS, this::exchange);
    }

    /** One event. */
    private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** The size of the fleet. */
    private record Fleet(int vms) implements FleetView {
        @Override
        public int reachableVms() {
            return vms;
        }

        @Override
        public int rank(final TargetId target) {
            return 0;
        }
    }

    /** A request. */
    private final class Request {
        private final Vm vm;
        private final long tokens = (long) (meanTokens() * (0.4 + 1.2 * random.nextDouble()));
        private final long arrivedNanos = nowNanos;
        private final Set<TargetId> excluded = new HashSet<>();
        private Target target;
        private InFlightRequests.InFlightRequest inFlight;
        private Optional<PlaceKeeper.Place> place = Optional.empty();
        private long sentNanos;
        private int sendsOfThis;

        private Request(final Vm vm) {
            this.vm = vm;
        }

        private TargetRequirements required() {
            final long waited = (nowNanos - arrivedNanos) / 1_000_000;
            return new TargetRequirements(
                    spec, Optional.empty(), Optional.empty(), tokens, 100, Math.max(1, objective() - waited), 0);
        }

        private void choose() {
            if (option == Option.E_GRANTED) {
                calls += counted() ? 1 : 0;
                at(HOP_MILLIS, () -> {
                    place = keeper.grant(required(), excluded, Duration.ofSeconds(5));
                    at(
                            HOP_MILLIS,
                            () -> chosen(place.map(PlaceKeeper.Place::choice)
                                    .or(() -> vm.policy.choose(required(), filter.candidates(spec, excluded)))));
                });
                return;
            }
            chosen(vm.policy.choose(required(), filter.candidates(spec, excluded)));
        }

        private void chosen(final Optional<TargetChoice> choice) {
            if (choice.isEmpty()) {
                end(true);
                return;
            }
            target = targets.get(Integer.parseInt(choice.get().target().id().value()));
            inFlight = vm.inFlight.begin(target.announcement.id(), tokens, Optional.empty());
            vm.sent[target.number]++;
            vm.sentTokens[target.number] += tokens;
            sentNanos = nowNanos;
            sendsOfThis++;
            sends += counted() ? 1 : 0;
            at(HOP_MILLIS, () -> target.receive(this));
        }

        private void promptRead(final ServerLoad load) {
            at(HOP_MILLIS, () -> {
                vm.loads.record(target.announcement, load, sentNanos);
                vm.reportNews();
                inFlight.firstChunk();
                vm.sentTokens[target.number] -= tokens;
                final TargetId id = target.announcement.id();
                final double millis = (nowNanos - sentNanos) / 1e6;
                vm.performance.firstChunk(id, millis, millis);
                if (engines) {
                    place.ifPresent(each -> tellKeeper(() -> keeper.promptRead(each.id())));
                }
                end((nowNanos - arrivedNanos) / 1e6 > objective());
            });
        }

        private void tellKeeper(final Runnable update) {
            calls += counted() ? 1 : 0;
            final Optional<LoadReport> known = vm.loads.of(target.announcement.id());
            at(HOP_MILLIS, () -> {
                known.ifPresent(keeperLoads::recordReport);
                update.run();
            });
        }

        private void released(final boolean promptWasRead) {
            inFlight.end();
            vm.sent[target.number]--;
            vm.sentTokens[target.number] -= promptWasRead ? 0 : tokens;
            place.ifPresent(each -> tellKeeper(() -> keeper.end(each.id())));
        }

        private void turnedAway(final ServerLoad load) {
            at(HOP_MILLIS, () -> {
                vm.loads.record(target.announcement, load, sentNanos);
                vm.reportNews();
                released(false);
                rejected += counted() ? 1 : 0;
                excluded.add(target.announcement.id());
                if (sendsOfThis >= MAX_SENDS) {
                    end(true);
                } else {
                    choose();
                }
            });
        }

        private void end(final boolean missed) {
            if (counted()) {
                requests++;
                late += missed ? 1 : 0;
            }
        }

        private long objective() {
            return engines ? 1_000 : 200;
        }
    }

    /** A target. */
    private final class Target {
        private final int number;
        private final TargetAnnouncement announcement;
        private final Deque<Request> queue = new ArrayDeque<>();
        private final int[] requestsBefore = new int[HISTORY];
        private final long[] tokensBefore = new long[HISTORY];
        private boolean slow;
        private boolean reading;
        private int running;

        private Target(final int number) {
            this.number = number;
            announcement = new TargetAnnouncement(
                    new TargetId(String.valueOf(number)),
                    SERVICE,
                    "127.0.0.1",
                    1,
                    DOMAIN,
                    engines ? ENGINE_SLOTS : PLAIN_SLOTS,
                    false,
                    0,
                    1,
                    List.of(),
                    Map.of());
        }

        private void becomeSlow() {
            slow = true;
            at(SLOW_MILLIS, () -> {
                slow = false;
                final double usualMillis = SLOW_MILLIS * (1 - SLOW_SHARE) / SLOW_SHARE;
                at(-Math.log(1 - random.nextDouble()) * usualMillis, this::becomeSlow);
            });
        }

        private double pace() {
            return slow ? SLOW : 1;
        }

        private double load() {
            return engines ? queue.size() + (reading ? 1 : 0) : running + queue.size();
        }

        private ServerLoad report() {
            return new ServerLoad(
                    running, queue.size(), announcement.slots(), OptionalInt.of((int) Math.round(100 * pace())));
        }

        private void receive(final Request request) {
            final int limit = engines ? 8 : 2 * PLAIN_SLOTS;
            if (queue.size() >= limit) {
                request.turnedAway(report());
                return;
            }
            queue.add(request);
            work();
        }

        private void work() {
            if (engines) {
                readNext();
                return;
            }
            while (running < PLAIN_SLOTS && !queue.isEmpty()) {
                final Request request = queue.poll();
                running++;
                at(PLAIN_MILLIS * (0.5 + random.nextDouble()) * pace(), () -> {
                    running--;
                    request.promptRead(report());
                    at(HOP_MILLIS, () -> request.released(true));
                    work();
                });
            }
        }

        private void readNext() {
            if (reading || queue.isEmpty() || running >= ENGINE_SLOTS) {
                return;
            }
            final Request request = queue.poll();
            reading = true;
            running++;
            final double millis = (STEP_MILLIS * (1 + running / 30.0) + request.tokens / TOKENS_PER_MILLI) * pace();
            at(millis, () -> {
                reading = false;
                request.promptRead(report());
                at(DECODE_MILLIS * (0.5 + random.nextDouble()), () -> {
                    running--;
                    at(HOP_MILLIS, () -> request.released(true));
                    readNext();
                });
                readNext();
            });
        }

        private void remember() {
            System.arraycopy(requestsBefore, 0, requestsBefore, 1, HISTORY - 1);
            System.arraycopy(tokensBefore, 0, tokensBefore, 1, HISTORY - 1);
            requestsBefore[0] = 0;
            tokensBefore[0] = 0;
            for (final Vm vm : vms) {
                requestsBefore[0] += vm.sent[number];
                tokensBefore[0] += vm.sentTokens[number];
            }
        }
    }

    /** A VM. */
    private final class Vm {
        private final ReportedLoads loads = new ReportedLoads(table, timer);
        private final InFlightRequests inFlight = new InFlightRequests();
        private final TargetPerformance performance = new TargetPerformance(timer::nanoTime);
        private final EngineLatencyModels models = new EngineLatencyModels();
        private final int[] sent = new int[targets.size()];
        private final long[] sentTokens = new long[targets.size()];
        /** How many exchanges ago the figures were those that this VM hears. */
        private final int delay = 2 + random.nextInt(3);

        private final TargetPolicy policy;

        private Vm(final int number) {
            final PlainEstimate plain = new PlainEstimate(performance, permits, option != Option.A_LEAST_COST);
            final UsageView told = UsageView.of(inFlight);
            final CandidateSelection selection = selection(number);
            if (option == Option.A_LEAST_COST) {
                policy = engines
                        ? new LeastCostEnginePolicy(engineEstimate(told, this))
                        : new LeastCostPlainPolicy(inFlight, plain, DOMAIN, random);
            } else {
                policy = engines
                        ? new ReportedEnginePolicy(engineEstimate(told, this), loads, selection, timer)
                        : new ReportedPlainPolicy(told, loads, plain, DOMAIN, selection);
            }
        }

        private CandidateSelection selection(final int number) {
            return switch (option) {
                case C_WEIGHTED -> ModelSelections.weighted(random);
                case D_SUBSET -> ModelSelections.subset(number, Math.max(2, targets.size() / 8));
                case F_CORRECTED -> ModelSelections.corrected(300, random);
                case CHANCE -> new SampledSelection(1, random);
                case B_FOUR_RANDOM -> new SampledSelection(4, random);
                default -> new SampledSelection(2, random);
            };
        }

        /** Hears of the requests of the others. The model keeps no history of a VM's own, which are a small part. */
        private void hear() {
            for (final Target target : targets) {
                inFlight.peerUsage(
                        OTHERS,
                        target.announcement.id(),
                        new InFlightRequests.Usage(
                                Math.max(0, target.requestsBefore[delay] - sent[target.number]),
                                Math.max(0, target.tokensBefore[delay] - sentTokens[target.number]),
                                Set.of()));
            }
        }

        private void reportNews() {
            for (final TargetId target : loads.drainChanged()) {
                reports += counted() ? 1 : 0;
                final LoadReport report = loads.of(target).orElseThrow();
                final double wait = 100 + 200 * random.nextDouble();
                at(wait, () -> vms.stream()
                        .filter(vm -> vm != this)
                        .forEach(vm -> vm.loads.recordReport(new LoadReport(
                                report.start(), report.load(), report.age().plusNanos((long) (wait * 1e6))))));
            }
        }
    }
}
