package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Puts a target back in service.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Puts a target back in service.")
public final class TargetInCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public TargetInCommand() {
        super(ResourceKind.TARGET, false);
    }
}
