package org.balsambank.core.catalogue.check;

import java.util.regex.Pattern;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks the format of key salts and key hashes.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class KeyHashFormCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_KEY_HASH = "key.form";

    private static final Pattern SALT = Pattern.compile("([0-9a-f]{2}){8,64}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section == Section.KEY) {
            entry.field("salt").ifPresent(salt -> visit("salt", salt, SALT));
            entry.field("hash").ifPresent(hash -> visit("hash", hash, HASH));
        }
    }

    private void visit(final String name, final DocumentNode value, final Pattern format) {
        if (!format.matcher(value.text()).matches()) {
            addViolation(value.position(), MSG_KEY_HASH, name);
        }
    }
}
