package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a target back in.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Takes a target back in.")
public final class TargetInCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public TargetInCommand() {
        super(ResourceKind.TARGET, false);
    }
}
