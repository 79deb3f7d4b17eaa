package org.balsambank.core.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.time.TimerService;

/**
 * The plan in force on this VM.
 *
 * <p>Invariant: its version only rises. Confined to the decision loop.
 */
public final class ActivePlan {
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TeamId, RateLimit> limits = new HashMap<>();
    private ServingPlan plan;
    private long revision;
    private long learnedNanos;

    /**
     * Creates a book without a plan.
     *
     * @param timer gives the time
     * @param log takes a line for each plan
     */
    public ActivePlan(final TimerService timer, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Takes over a plan if it is newer.
     *
     * @param newer the plan
     * @param atRevision the revision under which it was written
     */
    public void announced(final ServingPlan newer, final long atRevision) {
        if (plan != null && (newer.version() <= plan.version() || atRevision <= revision)) {
            return;
        }
        plan = newer;
        revision = atRevision;
        learnedNanos = timer.nanoTime();
        log.line("plan_in_force")
                .with("version", newer.version())
                .with("revision", atRevision)
                .write();
        noteLimits();
    }

    private void noteLimits() {
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
     * Returns how long the plan has been known.
     *
     * @return the age, zero without a plan
     */
    public Duration age() {
        return plan == null ? Duration.ZERO : Duration.ofNanos(timer.nanoTime() - learnedNanos);
    }
}
