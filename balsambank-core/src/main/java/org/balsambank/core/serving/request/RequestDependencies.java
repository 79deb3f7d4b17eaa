package org.balsambank.core.serving.request;

import java.util.random.RandomGenerator;

import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ActivePlan;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.FairAdmission;
import org.balsambank.core.serving.admission.StopWindow;
import org.balsambank.core.serving.admission.TeamRateLimiter;
import org.balsambank.core.serving.choice.EngineLatencyModels;
import org.balsambank.core.serving.choice.TargetChooser;
import org.balsambank.core.serving.fleet.PermitExchange;
import org.balsambank.core.serving.fleet.PlaceExchange;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * The components that a request uses.
 *
 * @param activePlan the plan in force
 * @param targets the known targets
 * @param limits the limits that targets have named
 * @param loads the loads that targets have reported
 * @param chooser chooses targets
 * @param placement makes adapters resident at targets
 * @param residency the adapters and models resident at targets
 * @param inFlight the requests in flight
 * @param performance the measured slowdown and failure rate of targets
 * @param latencyModels the latency models of the services
 * @param rateLimiter the rate limits of teams
 * @param admission admits requests of overloaded services in fair shares
 * @param retryBudgets the retry budgets of services
 * @param coldTargetLimiter the rate limits of cold targets
 * @param permits the permits for requests to targets that limit them
 * @param places the places granted by the VMs that keep them
 * @param stopWindow decides which requests are accepted while this VM stops
 * @param crashTracker the requests and parts of prompts whose targets crashed
 * @param timer the timer service
 * @param random the source of jitter and weighted choices
 * @param log the decision log
 * @param metrics the metrics of requests
 * @param admissions receives the admitted requests
 */
public record RequestDependencies(
        ActivePlan activePlan,
        TargetTable targets,
        TargetLimits limits,
        ReportedLoads loads,
        TargetChooser chooser,
        Placement placement,
        ResidencyTable residency,
        InFlightRequests inFlight,
        TargetPerformance performance,
        EngineLatencyModels latencyModels,
        TeamRateLimiter rateLimiter,
        FairAdmission admission,
        ServiceRetryBudgets retryBudgets,
        ColdTargetLimiter coldTargetLimiter,
        PermitExchange permits,
        PlaceExchange places,
        StopWindow stopWindow,
        TargetCrashTracker crashTracker,
        TimerService timer,
        RandomGenerator random,
        DecisionLog log,
        RequestMetrics metrics,
        AdmissionListener admissions) {}
