package org.balsambank.core.catalogue.check;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that the catalogue has few distinct salts, because each request costs one hash computation per salt.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class KeySaltCountCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_SALTS = "key.salts";

    /** The maximum number of distinct salts in a catalogue. */
    static final int MAX_SALTS = 16;

    private final Set<String> salts = new HashSet<>();

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section == Section.KEY) {
            entry.field("salt").ifPresent(this::visitSalt);
        }
    }

    private void visitSalt(final DocumentNode salt) {
        if (salts.add(salt.text()) && salts.size() > MAX_SALTS) {
            addViolation(salt.position(), MSG_SALTS, String.valueOf(MAX_SALTS));
        }
    }
}
