package org.balsambank.core.catalogue;

import java.util.List;

import org.balsambank.core.catalogue.check.CatalogueChecker;
import org.balsambank.core.catalogue.check.Violation;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentReader;
import org.balsambank.core.document.DocumentSyntaxException;
import org.balsambank.core.document.Position;
import org.balsambank.core.id.Revision;

/**
 * Parses the written form of the catalogue, JSON with comments.
 *
 * <p>Stateless and thread-safe. A file with a mistake gives no catalogue at all.
 */
public final class CatalogueParser {
    private static final String SYNTAX_RULE = "Syntax";

    private CatalogueParser() {}

    /**
     * Parses a catalogue.
     *
     * @param file the name of the file, for messages
     * @param text the text of the file
     * @param revision the revision that the catalogue gets
     * @return the catalogue
     * @throws InvalidCatalogueException if the file has mistakes; it lists all of them
     */
    public static Catalogue parse(final String file, final String text, final Revision revision)
            throws InvalidCatalogueException {
        final DocumentNode root = read(file, text);
        final List<Violation> violations = CatalogueChecker.check(file, root);
        if (!violations.isEmpty()) {
            throw new InvalidCatalogueException(violations);
        }
        return CatalogueBuilder.build(root, revision);
    }

    private static DocumentNode read(final String file, final String text) throws InvalidCatalogueException {
        try {
            final DocumentNode root = DocumentReader.read(text);
            if (root.kind() != DocumentNode.Kind.OBJECT) {
                throw syntaxError(file, root.position(), "the outermost value is not an object");
            }
            return root;
        } catch (DocumentSyntaxException e) {
            throw syntaxError(file, e.position(), e.getMessage());
        }
    }

    private static InvalidCatalogueException syntaxError(
            final String file, final Position place, final String message) {
        return new InvalidCatalogueException(List.of(new Violation(file, place, SYNTAX_RULE, message)));
    }
}
