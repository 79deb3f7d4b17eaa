package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a VM back in.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Takes a VM back in.")
public final class VmInCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public VmInCommand() {
        super(ResourceKind.VM, false);
    }
}
