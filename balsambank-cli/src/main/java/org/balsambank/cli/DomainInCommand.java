package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Puts a failure domain back in service.
 *
 * <p>Confined to one thread.
 */
@Command(name = "in", description = "Puts a failure domain back in service.")
public final class DomainInCommand extends AbstractOutCommand {
    /** Creates the command. The command-line parser sets its arguments. */
    public DomainInCommand() {
        super(ResourceKind.DOMAIN, false);
    }
}
