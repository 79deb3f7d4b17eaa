package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a VM out: it owns nothing any more.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a VM out: it owns nothing any more.")
public final class VmOutCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public VmOutCommand() {
        super(ResourceKind.VM, true);
    }
}
