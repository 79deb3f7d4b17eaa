package org.balsambank.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueParser;
import org.balsambank.core.catalogue.InvalidCatalogueException;
import org.balsambank.core.id.Revision;

/**
 * Checks catalogue files offline.
 *
 * <p>Confined to one thread.
 */
@Command(name = "check", description = "Checks catalogue files and lists all violations with file, line and column.")
public final class CheckCommand extends AbstractCommand {
    private static final Revision NO_REVISION = new Revision(0);

    @Required
    @Arguments(title = "FILE", description = "The catalogue files.")
    private List<String> files;

    /**
     * Checks a catalogue.
     *
     * @param text the content of the file
     * @param file the name of the file, for messages
     * @return the catalogue
     * @throws CommandException if there are violations; its message lists all of them
     */
    static Catalogue check(final String text, final String file) throws CommandException {
        try {
            return CatalogueParser.parse(file, text, NO_REVISION);
        } catch (final InvalidCatalogueException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
    }

    @Override
    protected ExitCode execute() throws CommandException {
        final ArrayNode results = new ObjectMapper().createArrayNode();
        final List<String> violations = new ArrayList<>();
        for (final String file : files) {
            final ObjectNode result = results.addObject().put("file", file);
            try {
                final Catalogue catalogue = check(InputFiles.read(file), file);
                result.put("ok", true);
                printText(file + ": ok, " + catalogue.adapters().size() + " adapters, "
                        + catalogue.teams().size() + " teams, "
                        + catalogue.targets().size() + " targets");
            } catch (final CommandException e) {
                result.put("ok", false).put("mistakes", e.getMessage());
                violations.add(e.getMessage());
            }
        }
        if (json()) {
            print(results.toString());
        }
        if (!violations.isEmpty()) {
            throw new CommandException(ExitCode.INVALID, String.join("\n", violations));
        }
        return ExitCode.OK;
    }

    private void printText(final String line) {
        if (!json()) {
            print(line);
        }
    }
}
