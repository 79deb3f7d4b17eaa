package org.balsambank.core.target;

import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.time.TimerService;

/**
 * Dependencies shared by all targets of one VM.
 *
 * <p>Immutable; the components are confined to the decision loop.
 *
 * @param ownership determines which targets this VM owns
 * @param catalogues the source of the current configuration
 * @param client sends commands to targets
 * @param timers the timer service
 * @param slots limits adapter loads across all VMs
 * @param poison counts the target crashes per request
 * @param trials runs suspect requests one at a time
 * @param invariants records violated invariants
 * @param meters the admission meters
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
