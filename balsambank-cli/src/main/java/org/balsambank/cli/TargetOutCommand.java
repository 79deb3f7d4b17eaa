package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a target out of service. It receives no new requests.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a target out of service. It receives no new requests.")
public final class TargetOutCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public TargetOutCommand() {
        super(ResourceKind.TARGET, true);
    }
}
