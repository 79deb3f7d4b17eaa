package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a VM out of service. It no longer owns partitions.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a VM out of service. It no longer owns partitions.")
public final class VmOutCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public VmOutCommand() {
        super(ResourceKind.VM, true);
    }
}
