package org.balsambank.core.catalogue.check;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that the keys share few salts, since each salt costs a hash for each request.
 *
 * <p>Used for one file by one thread.
 */
final class KeySaltCountCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_SALTS = "key.salts";

    /** The number of different salts that a catalogue may hold. */
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
            log(salt.position(), MSG_SALTS, String.valueOf(MAX_SALTS));
        }
    }
}
