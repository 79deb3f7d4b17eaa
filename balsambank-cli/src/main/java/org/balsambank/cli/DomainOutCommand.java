package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a failure domain out: its targets get no new work.
 *
 * <p>Confined to one thread.
 */
@Command(name = "out", description = "Takes a failure domain out: its targets get no new work.")
public final class DomainOutCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public DomainOutCommand() {
        super(ResourceKind.DOMAIN, true);
    }
}
