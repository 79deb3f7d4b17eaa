package org.balsambank.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import org.balsambank.standin.experiment.placement.TargetDecisionCosts;

/**
 * Measures how the CPU time and memory of target decisions on a VM grow with the number of targets, and the sizes of
 * messages.
 *
 * <p>Runs once.
 */
@Command(
        name = "target-slopes",
        description = "measures CPU time and memory of target decisions at several fleet sizes")
public final class TargetDecisionCostsCommand implements Runnable {
    @Override
    public void run() {
        TargetDecisionCosts.run(System.out);
    }
}
