package org.balsambank.core.catalogue.check;

import java.text.MessageFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.ResourceBundle;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.Position;

/**
 * Base class of the checks of catalogue files.
 *
 * <p>An instance checks one file and is confined to one thread. A check visits the document, then each entry in
 * document order, outer entries before inner ones.
 */
abstract class AbstractCheck {
    private static final ResourceBundle MESSAGES =
            ResourceBundle.getBundle("org.balsambank.core.catalogue.check.messages", Locale.ROOT);
    private static final String SUFFIX = "Check";

    private final List<Violation> violations = new ArrayList<>();
    private String file = "";

    /**
     * Starts the check of a file.
     *
     * @param name the name of the file
     * @param root the root object
     */
    final void begin(final String name, final DocumentNode root) {
        file = name;
        beginDocument(root);
    }

    /**
     * Visits the document before any entry.
     *
     * @param root the root object
     */
    void beginDocument(final DocumentNode root) {
        // Most checks visit entries only.
    }

    /**
     * Visits an entry.
     *
     * @param section the section of the entry
     * @param entry the entry
     */
    abstract void visitEntry(Section section, DocumentNode entry);

    /**
     * Adds a violation to the result of this check.
     *
     * @param position the position of the violation
     * @param key the message key
     * @param arguments the message arguments
     */
    final void addViolation(final Position position, final String key, final Object... arguments) {
        final String message = new MessageFormat(MESSAGES.getString(key), Locale.ROOT).format(arguments);
        violations.add(new Violation(file, position, ruleName(), message));
    }

    /**
     * Returns the violations found so far.
     *
     * @return the violations, in the order in which they were added
     */
    final List<Violation> violations() {
        return List.copyOf(violations);
    }

    private String ruleName() {
        final String name = getClass().getSimpleName();
        return name.substring(0, name.length() - SUFFIX.length());
    }
}
