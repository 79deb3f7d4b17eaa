package org.balsambank.core.target;

import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.time.TimerService;

/**
 * What the targets of one VM share.
 *
 * <p>Immutable; its parts are confined to the decision loop.
 *
 * @param ownership tells which targets this VM decides for
 * @param catalogues gives the configuration in force
 * @param client sends orders to targets
 * @param timers gives the time
 * @param slots limits the loads over all VMs
 * @param poison counts the targets that requests have cost
 * @param trials lets suspects run one at a time
 * @param invariants takes note of what breaks
 * @param meters counts what is decided
 */
record GateContext(
        Ownership ownership,
        CatalogueSource catalogues,
        TargetClient client,
        TimerService timers,
        LoadSlots slots,
        PoisonRequestRegistry poison,
        CrashTrials trials,
        InvariantMonitor invariants,
        TargetMeters meters) {}
