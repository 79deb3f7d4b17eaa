package org.balsambank.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Prints the version.
 *
 * <p>Confined to one thread.
 */
@Command(name = "version", description = "Prints the version.")
public final class VersionCommand extends AbstractCommand {
    @Override
    protected ExitCode execute() {
        final String version = VersionCommand.class.getPackage().getImplementationVersion();
        final String printed = version == null ? "development" : version;
        print(json() ? "{\"version\":\"" + printed + "\"}" : "balsambank " + printed);
        return ExitCode.OK;
    }
}
