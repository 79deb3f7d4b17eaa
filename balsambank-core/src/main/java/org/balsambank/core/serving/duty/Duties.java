package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.serving.ActivePlan;
import org.balsambank.core.serving.fleet.DigestExtension;
import org.balsambank.core.serving.fleet.FleetMembers;
import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.serving.placement.Claims;
import org.balsambank.core.serving.request.AdmissionListener;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * The duties of a fleet for which the operator has configured some: counts and loads are collected, and the VM that
 * holds the claim on a subject makes its calls.
 *
 * <p>Confined to the decision loop.
 */
public final class Duties implements Component {
    private static final Duration STEP = Duration.ofMillis(200);
    private static final int STEPS_PER_PUBLICATION = 4;
    /** The holder and the VM that would follow it collect rows. */
    private static final int COLLECTORS = 2;
    /** How long a promise is kept after its report was due. */
    private static final long KEPT_MILLIS = 60_000;

    private final DutySettings settings;
    private final FleetMembers members;
    private final ActivePlan activePlan;
    private final TimerService timer;
    private final FleetClock clock;
    private final UsageTable usage = new UsageTable();
    private final BegunRequests begun;
    private final OfferedLoad offered;
    private final PromisedReports promises;
    private final DutyClaims claims;
    private final UsageReporter reporter;
    private final TargetScaler scaler;
    private final DutyExchange exchange;
    private long steps;
    private Optional<Long> collectingSinceNanos = Optional.empty();

    /**
     * Creates the duties of this VM. Nothing runs before {@link #run()} is subscribed.
     *
     * @param settings the duties
     * @param client makes the calls
     * @param store the key-value service
     * @param claims the claims of all VMs
     * @param storeAwayForAll whether no VM can reach the key-value service
     * @param members the registered VMs
     * @param activePlan the plan in force
     * @param targets the known targets
     * @param inFlight the requests in flight
     * @param timer the timer service
     * @param wallMillis the wall clock in milliseconds
     * @param random generates the id of this start
     * @param log the decision log
     * @param registry the registry for metrics
     */
    public Duties(
            final DutySettings settings,
            final DutyClient client,
            final KeyValueStore store,
            final Claims claims,
            final BooleanSupplier storeAwayForAll,
            final FleetMembers members,
            final ActivePlan activePlan,
            final TargetTable targets,
            final InFlightRequests inFlight,
            final TimerService timer,
            final LongSupplier wallMillis,
            final RandomGenerator random,
            final DecisionLog log,
            final MeterRegistry registry) {
        this.settings = Objects.requireNonNull(settings);
        this.members = Objects.requireNonNull(members);
        this.activePlan = Objects.requireNonNull(activePlan);
        this.timer = Objects.requireNonNull(timer);
        clock = new FleetClock(timer, wallMillis);
        begun = new BegunRequests(members.self(), random.nextLong(), settings.window(), clock, timer);
        offered = new OfferedLoad(timer);
        this.claims = new DutyClaims(members.self(), claims, store, settings.lease(), timer, log);
        final DutyMetrics metrics = new DutyMetrics(registry, this.claims::count);
        promises = new PromisedReports(store, members::rank, timer, log, metrics::windowConflict);
        final DutyPacer pacer =
                new DutyPacer(settings.callsPerSecond(), () -> subjects().size(), timer);
        reporter = new UsageReporter(
                settings,
                usage,
                promises,
                client,
                store,
                pacer,
                storeAwayForAll,
                this.claims::fenced,
                timer,
                log,
                metrics);
        scaler = new TargetScaler(
                activePlan, targets, inFlight, offered, client, pacer, this.claims::fenced, timer, log, metrics);
        exchange = new DutyExchange(usage, clock, offered, promises, this::collects, timer);
    }

    @Override
    public String name() {
        return "duties";
    }

    @Override
    public Completable run() {
        return timer.every(STEP).doOnNext(tick -> step()).ignoreElements();
    }

    private void step() {
        clock.adjust();
        claims.claim(subjects(), members.all());
        if (settings.kinds().contains(DutyKind.USAGE_REPORT) && clock.known()) {
            stepUsage();
        }
        if (settings.kinds().contains(DutyKind.AUTOSCALE)) {
            scaler.step(claims::held);
        }
    }

    private void stepUsage() {
        final long now = clock.millis();
        final long windowMillis = settings.window().toMillis();
        final long firstInTime = reporter.firstInTime(now);
        usage.keep(firstInTime, Math.floorDiv(now, windowMillis) + 1);
        if (steps++ % STEPS_PER_PUBLICATION == 0) {
            begun.publish(usage);
        }
        promises.step(firstInTime, Math.floorDiv(now - KEPT_MILLIS, windowMillis));
        if (!collects()) {
            collectingSinceNanos = Optional.empty();
        } else if (collectingSinceNanos.isEmpty()) {
            collectingSinceNanos = Optional.of(timer.nanoTime());
        }
        final long collecting =
                collectingSinceNanos.map(since -> timer.nanoTime() - since).orElse(0L);
        reporter.step(claims.held(UsageReporter.SUBJECT), now, collecting);
    }

    private Set<ClaimSubject> subjects() {
        final Set<ClaimSubject> subjects = new HashSet<>(scaler.subjects());
        if (settings.kinds().contains(DutyKind.USAGE_REPORT)) {
            subjects.add(UsageReporter.SUBJECT);
        }
        return subjects;
    }

    /** Returns whether this VM reports usage, or would follow the VM that does. */
    private boolean collects() {
        return settings.kinds().contains(DutyKind.USAGE_REPORT)
                && (claims.isHolder(UsageReporter.SUBJECT) || members.rank(UsageReporter.SUBJECT.name()) < COLLECTORS);
    }

    /**
     * Returns whether a key of the key-value service belongs to duties.
     *
     * @param key the key
     * @return true for the keys of promises
     */
    public static boolean isKey(final String key) {
        return PromisedReports.isKey(key);
    }

    /**
     * Applies a change of a key that belongs to duties.
     *
     * @param change the change
     */
    public void changed(final KeyValueChange change) {
        promises.changed(change);
    }

    /** Begins a new era of the key-value service, which may have lost promises. */
    public void beginEra() {
        promises.beginEra();
    }

    /**
     * Returns what is added to digests.
     *
     * @return the exchange with the other VMs
     */
    public DigestExtension digests() {
        return exchange;
    }

    /**
     * Returns what receives the admitted requests.
     *
     * @return the offered load
     */
    public AdmissionListener admissions() {
        return offered;
    }

    /**
     * Counts the attempts that targets begin to run.
     *
     * @param sender sends the attempts
     * @return a sender that counts them
     */
    public TargetSender counting(final TargetSender sender) {
        return new CountingSender(
                sender,
                begun,
                name -> activePlan
                        .current()
                        .flatMap(plan -> plan.service(name))
                        .flatMap(service -> service.engine())
                        .isPresent(),
                timer);
    }

    /** Makes no more calls, as this VM stops. */
    public void stop() {
        claims.stop();
    }
}
