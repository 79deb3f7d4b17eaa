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
 * Checks catalogue files without a server.
 *
 * <p>Confined to one thread.
 */
@Command(name = "check", description = "Checks catalogue files and lists all mistakes with file, line and column.")
public final class CheckCommand extends AbstractCommand {
    private static final Revision UNAPPLIED = new Revision(0);

    @Required
    @Arguments(title = "FILE", description = "The catalogue files.")
    private List<String> files;

    /**
     * Checks a catalogue.
     *
     * @param text the text of the file
     * @param file the name of the file, for messages
     * @return the catalogue
     * @throws CommandException if there are mistakes; its message lists all of them
     */
    static Catalogue check(final String text, final String file) throws CommandException {
        try {
            return CatalogueParser.parse(file, text, UNAPPLIED);
        } catch (final InvalidCatalogueException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
    }

    @Override
    protected ExitCode execute() throws CommandException {
        final ArrayNode results = new ObjectMapper().createArrayNode();
        final List<String> mistakes = new ArrayList<>();
        for (final String file : files) {
            final ObjectNode result = results.addObject().put("file", file);
            try {
                final Catalogue catalogue = check(InputFiles.read(file), file);
                result.put("ok", true);
                report(file + ": ok, " + catalogue.adapters().size() + " adapters, "
                        + catalogue.teams().size() + " teams, "
                        + catalogue.targets().size() + " targets");
            } catch (final CommandException e) {
                result.put("ok", false).put("mistakes", e.getMessage());
                mistakes.add(e.getMessage());
            }
        }
        if (json()) {
            print(results.toString());
        }
        if (!mistakes.isEmpty()) {
            throw new CommandException(ExitCode.INVALID, String.join("\n", mistakes));
        }
        return ExitCode.OK;
    }

    private void report(final String line) {
        if (!json()) {
            print(line);
        }
    }
}
