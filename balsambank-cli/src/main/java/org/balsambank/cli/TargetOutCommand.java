package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a target out: it gets no new work.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a target out: it gets no new work.")
public final class TargetOutCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public TargetOutCommand() {
        super(ResourceKind.TARGET, true);
    }
}
