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
 * A rule of catalogue files.
 *
 * <p>Used for one file by one thread. A rule sees the document, then each entry in its order, outer entries first.
 */
abstract class AbstractCheck {
    private static final ResourceBundle MESSAGES =
            ResourceBundle.getBundle("org.balsambank.core.catalogue.check.messages", Locale.ROOT);
    private static final String SUFFIX = "Check";

    private final List<Violation> violations = new ArrayList<>();
    private String file = "";

    /**
     * Begins a file.
     *
     * @param name the name of the file
     * @param root the outermost object
     */
    final void begin(final String name, final DocumentNode root) {
        file = name;
        beginDocument(root);
    }

    /**
     * Sees the document before any entry.
     *
     * @param root the outermost object
     */
    void beginDocument(final DocumentNode root) {
        // Most rules look at entries only.
    }

    /**
     * Sees an entry.
     *
     * @param section the kind of entry
     * @param entry the entry
     */
    abstract void visitEntry(Section section, DocumentNode entry);

    /**
     * Records a mistake.
     *
     * @param place where it is
     * @param key the key of the message
     * @param arguments the arguments of the message
     */
    final void log(final Position place, final String key, final Object... arguments) {
        final String message = new MessageFormat(MESSAGES.getString(key), Locale.ROOT).format(arguments);
        violations.add(new Violation(file, place, ruleName(), message));
    }

    /**
     * Returns the mistakes found.
     *
     * @return the mistakes in the order of the file
     */
    final List<Violation> violations() {
        return List.copyOf(violations);
    }

    private String ruleName() {
        final String name = getClass().getSimpleName();
        return name.substring(0, name.length() - SUFFIX.length());
    }
}
