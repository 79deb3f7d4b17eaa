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
 * Parses catalogue files, which are JSON with comments.
 *
 * <p>Stateless and thread-safe. A file with any violation is rejected as a whole.
 */
public final class CatalogueParser {
    private static final String SYNTAX_RULE = "Syntax";

    private CatalogueParser() {}

    /**
     * Parses a catalogue.
     *
     * @param file the name of the file, for messages
     * @param text the content of the file
     * @param revision the revision to assign to the catalogue
     * @return the catalogue
     * @throws InvalidCatalogueException if the file has violations; the exception lists all of them
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
                throw syntaxError(file, root.position(), "the root value is not an object");
            }
            return root;
        } catch (DocumentSyntaxException e) {
            throw syntaxError(file, e.position(), e.getMessage());
        }
    }

    private static InvalidCatalogueException syntaxError(
            final String file, final Position position, final String message) {
        return new InvalidCatalogueException(List.of(new Violation(file, position, SYNTAX_RULE, message)));
    }
}
