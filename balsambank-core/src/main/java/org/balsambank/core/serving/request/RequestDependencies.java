package org.balsambank.core.serving.request;

import java.util.random.RandomGenerator;

import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ActivePlan;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.TeamRateLimiter;
import org.balsambank.core.serving.choice.EngineLatencyModels;
import org.balsambank.core.serving.choice.TargetChooser;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * What the steps of a request consult.
 *
 * @param plans the plan in force
 * @param targets the targets
 * @param chooser chooses targets
 * @param placement gets adapters to targets
 * @param holdings what targets hold
 * @param flights what is under way
 * @param paces how slow targets are
 * @param engines how fast targets read prompts
 * @param buckets the rates of teams
 * @param retries the retries of services
 * @param cold what cold targets bear
 * @param losses requests that have cost targets
 * @param timer gives the time
 * @param random spreads callers that come back
 * @param log takes a line for each decision
 * @param meters counts outcomes
 */
public record RequestDependencies(
        ActivePlan plans,
        TargetTable targets,
        TargetChooser chooser,
        Placement placement,
        ResidencyTable holdings,
        InFlightRequests flights,
        TargetPerformance paces,
        EngineLatencyModels engines,
        TeamRateLimiter buckets,
        ServiceRetryBudgets retries,
        ColdTargetLimiter cold,
        TargetCrashTracker losses,
        TimerService timer,
        RandomGenerator random,
        DecisionLog log,
        RequestMetrics meters) {}
