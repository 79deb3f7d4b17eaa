package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a failure domain back in.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Takes a failure domain back in.")
public final class DomainInCommand extends AbstractOutCommand {
    /** Creates the command; the parser of the command line sets its arguments. */
    public DomainInCommand() {
        super(ResourceKind.DOMAIN, false);
    }
}
