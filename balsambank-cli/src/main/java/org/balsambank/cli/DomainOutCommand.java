package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a failure domain out of service. Its targets receive no new requests.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a failure domain out of service. Its targets receive no new requests.")
public final class DomainOutCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public DomainOutCommand() {
        super(ResourceKind.DOMAIN, true);
    }
}
