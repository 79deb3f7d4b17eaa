package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Puts a VM back in service.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Puts a VM back in service.")
public final class VmInCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public VmInCommand() {
        super(ResourceKind.VM, false);
    }
}
