package org.balsambank.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import org.balsambank.standin.experiment.placement.TargetDecisionCosts;

/**
 * Measures the processor time and memory that decisions about targets take on a VM.
 *
 * <p>Run once.
 */
@Command(
        name = "target-slopes",
        description = "measures CPU time and memory of target decisions at several fleet sizes")
public final class TargetSlopesCommand implements Runnable {
    @Override
    public void run() {
        TargetDecisionCosts.run(System.out);
    }
}
