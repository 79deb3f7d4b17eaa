package org.balsambank.core.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.time.TimerService;

/**
 * The plan in force on this VM.
 *
 * <p>Invariant: the version of the plan never decreases. Confined to the decision loop.
 */
public final class ActivePlan {
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TeamId, RateLimit> limits = new HashMap<>();
    private ServingPlan plan;
    private long revision;
    private long receivedNanos;

    /**
     * Creates an instance without a plan.
     *
     * @param timer the timer service
     * @param log the decision log; gets a line for each new plan and each changed team limit
     */
    public ActivePlan(final TimerService timer, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Replaces the plan if the given one is newer in version and, within an era of the key-value service, in revision.
     * A plan of an earlier era may be newer than the one that the service shows after its return from a copy.
     *
     * @param newer the announced plan
     * @param atRevision the store revision of its entry
     */
    public void update(final ServingPlan newer, final long atRevision) {
        if (plan != null && (newer.version() <= plan.version() || notLater(atRevision))) {
            return;
        }
        plan = newer;
        revision = atRevision;
        receivedNanos = timer.nanoTime();
        log.line("plan_in_force")
                .with("version", newer.version())
                .with("revision", atRevision)
                .write();
        logChangedLimits();
    }

    private boolean notLater(final long atRevision) {
        return StoreRevision.era(atRevision) == StoreRevision.era(revision) && atRevision <= revision;
    }

    private void logChangedLimits() {
        final Map<TeamId, RateLimit> before = Map.copyOf(limits);
        limits.clear();
        for (final TeamSpec team : plan.teams()) {
            team.limit().ifPresent(limit -> limits.put(team.id(), limit));
        }
        limits.forEach((team, limit) -> {
            if (!limit.equals(before.get(team))) {
                log.line("team_limit")
                        .with("team", team.value())
                        .with("unit", limit.unit().name())
                        .with("per_second", Math.round(limit.perSecond()))
                        .with("burst", Math.round(limit.burst()))
                        .write();
            }
        });
    }

    /**
     * Returns the plan.
     *
     * @return the plan in force, if one is known
     */
    public Optional<ServingPlan> current() {
        return Optional.ofNullable(plan);
    }

    /**
     * Returns the time since this VM received the plan.
     *
     * @return the age, zero without a plan
     */
    public Duration age() {
        return plan == null ? Duration.ZERO : Duration.ofNanos(timer.nanoTime() - receivedNanos);
    }
}
