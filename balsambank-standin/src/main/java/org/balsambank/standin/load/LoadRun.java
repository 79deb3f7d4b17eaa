package org.balsambank.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Recorder;
import org.balsambank.core.time.TimerService;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.CompletionCall;
import org.balsambank.standin.client.ServiceCall;
import org.balsambank.standin.http.HttpStandin;
import org.balsambank.standin.load.ScheduledAction.Verb;
import org.balsambank.standin.load.ScheduledCall.Kind;

/**
 * An open-loop load generator. Sends the calls of a schedule at their planned times, whether or not earlier calls have
 * ended, and records the result of each.
 *
 * <p>Confined to its event loop, except {@link #run()}, which blocks the calling thread.
 */
public final class LoadRun {
    private static final Duration TICK = Duration.ofMillis(2);
    private static final Duration BALANCER_PERIOD = Duration.ofMillis(500);
    private static final Duration PROBE_PERIOD = Duration.ofMillis(400);
    private static final Duration SAMPLE_PERIOD = Duration.ofMillis(250);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_CONNECTIONS = 2000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadSettings settings;
    private final Vertx vertx;
    private final TimerService timer;
    private final CallerClient client;
    private final LoadBalancer balancer;
    private final TargetStatsSampler targetStats;
    private final ActionRunner actionRunner;
    private final UnauthorizedCallProbe unauthorizedCallProbe;
    private final List<ScheduledCall> schedule;
    private final List<CallRecord> records = new ArrayList<>();
    private final List<CompletedAction> completedActions = new ArrayList<>();
    private final Map<String, ReferenceTokenBucket> referenceBuckets = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Set<String> teamsWithWithdrawnKey = new HashSet<>();
    private final Recorder tokenGaps = new Recorder(3);
    private final CompositeDisposable periodic = new CompositeDisposable();

    private RunClock clock;
    private int nextCall;
    private int nextAction;
    private int inFlight;

    /**
     * Creates a run that is not started.
     *
     * @param vertx runs the event loops
     * @param settings the settings of the run
     */
    public LoadRun(final Vertx vertx, final LoadSettings settings) {
        this.settings = settings;
        this.vertx = vertx;
        timer = HttpStandin.timerOf(vertx.getOrCreateContext());
        client = new CallerClient(vertx, MAX_CONNECTIONS, CALL_TIMEOUT);
        balancer = new LoadBalancer(
                new CallerClient(vertx, settings.vms(), READY_TIMEOUT),
                settings.ports(),
                settings.vms(),
                settings.seed());
        targetStats = new TargetStatsSampler(client, settings.ports());
        unauthorizedCallProbe = new UnauthorizedCallProbe(client, balancer, settings.profile());
        actionRunner = new ActionRunner(client, settings.ports());
        schedule = ArrivalSchedule.generate(
                settings.profile(),
                settings.warmUpSeconds() + settings.seconds(),
                settings.scale(),
                settings.popularity(),
                settings.seed());
    }

    /**
     * Runs the whole schedule.
     *
     * @return the result
     */
    public LoadResult run() {
        start().subscribeOn(timer.scheduler()).blockingAwait();
        return new LoadResult(
                settings,
                List.copyOf(records),
                List.copyOf(completedActions),
                Map.copyOf(referenceBuckets),
                targetStats,
                unauthorizedCallProbe.executedCalls(),
                new RunCounts(client, settings.ports()).serviceRuns(),
                tokenGaps.getIntervalHistogram());
    }

    private Completable start() {
        clock = new RunClock(System.nanoTime());
        for (final TeamProfile team : settings.profile().teams()) {
            referenceBuckets.put(team.id(), new ReferenceTokenBucket(team.limit(), 0));
            keys.put(team.id(), team.key());
        }
        periodic.add(timer.every(BALANCER_PERIOD)
                .onBackpressureDrop()
                .concatMapSingle(ignored -> balancer.refreshReadiness())
                .subscribe());
        periodic.add(timer.every(SAMPLE_PERIOD)
                .onBackpressureDrop()
                .concatMapCompletable(ignored -> targetStats.sample().observeOn(timer.scheduler()))
                .subscribe());
        periodic.add(timer.every(PROBE_PERIOD)
                .onBackpressureDrop()
                .concatMapCompletable(
                        ignored -> unauthorizedCallProbe.sendNext().observeOn(timer.scheduler()))
                .subscribe());
        final long warmUpNanos = (long) (settings.warmUpSeconds() * NANOS_PER_SECOND);
        periodic.add(timer.after(Duration.ofNanos(warmUpNanos)).subscribe(targetStats::resetBaseline));
        return timer.every(TICK)
                .doOnNext(ignored -> sendDue())
                .takeUntil((final Long tick) -> isFinished())
                .ignoreElements()
                .andThen(targetStats.sample())
                .observeOn(timer.scheduler())
                .doFinally(periodic::dispose);
    }

    private boolean isFinished() {
        final long durationNanos = (long) ((settings.warmUpSeconds() + settings.seconds()) * NANOS_PER_SECOND);
        final long now = clock.elapsedNanos();
        final boolean overdue = now > durationNanos + 2 * CALL_TIMEOUT.toNanos();
        return overdue || nextCall >= schedule.size() && inFlight == 0 && now >= durationNanos;
    }

    private void sendDue() {
        final long now = clock.elapsedNanos();
        while (nextCall < schedule.size() && schedule.get(nextCall).offsetNanos() <= now) {
            sendCall(schedule.get(nextCall), now);
            nextCall++;
        }
        while (nextAction < settings.actions().size() && actionNanos(nextAction) <= now) {
            performAction(settings.actions().get(nextAction));
            nextAction++;
        }
    }

    private long actionNanos(final int index) {
        return (long) ((settings.warmUpSeconds() + settings.actions().get(index).atSeconds()) * NANOS_PER_SECOND);
    }

    private void sendCall(final ScheduledCall call, final long now) {
        final String team = call.team().id();
        final CompletionCall completion = new CompletionCall(
                keys.get(team), call.model(), call.prompt(), call.team().answerTokens(), call.kind() == Kind.STREAM);
        final int cost = call.kind() == Kind.SERVICE ? 1 : completion.costInTokens();
        final boolean keyValid = !teamsWithWithdrawnKey.contains(team);
        final boolean withinRate = keyValid && referenceBuckets.get(team).tryConsume(now, cost);
        final String id = settings.profile().name() + "-" + settings.seed() + "-" + nextCall + "-"
                + Long.toString(clock.startNanos(), Character.MAX_RADIX);
        inFlight++;
        send(call, completion, id).observeOn(timer.scheduler()).subscribe(result -> {
            inFlight--;
            final CallRecord record = new CallRecord(
                    call,
                    id,
                    withinRate,
                    result,
                    now - call.offsetNanos(),
                    isCorrect(call, completion, id, result),
                    cost);
            records.add(record);
        });
    }

    private Single<CallResult> send(final ScheduledCall call, final CompletionCall completion, final String id) {
        if (call.kind() == Kind.SERVICE) {
            final ServiceCall service = new ServiceCall(
                    completion.key(),
                    settings.profile().service(),
                    settings.profile().servicePath(),
                    new JsonObject().put("team", call.team().id()).encode(),
                    id,
                    id);
            return balancer.send(endpoint -> client.call(endpoint, service));
        }
        return balancer.send(endpoint -> client.complete(endpoint, completion, new TokenGapRecorder(tokenGaps)));
    }

    private static boolean isCorrect(
            final ScheduledCall call, final CompletionCall completion, final String id, final CallResult result) {
        if (!result.isWhole()) {
            return false;
        }
        if (call.kind() != Kind.SERVICE) {
            return result.adapter().equals(call.model()) && completion.isAnsweredBy(call.model(), result.text());
        }
        try {
            return id.equals(new JsonObject(result.text()).getString("callId"));
        } catch (final DecodeException e) {
            return false;
        }
    }

    private void performAction(final ScheduledAction action) {
        final long startNanos = clock.elapsedNanos();
        if (action.verb() == Verb.KEY_WITHDRAW) {
            teamsWithWithdrawnKey.add(action.argument());
        }
        actionRunner
                .run(action, balancer.nextVm())
                .observeOn(timer.scheduler())
                .subscribe(result -> recordAction(action, startNanos, result));
    }

    private void recordAction(final ScheduledAction action, final long startNanos, final CallResult result) {
        final String response =
                result.isWhole() ? result.text() : result.status() + " " + result.kind() + result.text();
        completedActions.add(new CompletedAction(action, startNanos, clock.elapsedNanos(), result.isWhole(), response));
        if (action.verb() == Verb.KEY_GIVE && result.isWhole()) {
            keys.put(action.argument(), new JsonObject(result.text()).getString("key", ""));
            teamsWithWithdrawnKey.remove(action.argument());
        }
    }
}
