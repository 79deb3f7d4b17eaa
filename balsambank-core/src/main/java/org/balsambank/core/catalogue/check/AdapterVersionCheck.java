package org.balsambank.core.catalogue.check;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that each adapter has at least one version and no duplicate versions.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class AdapterVersionCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_NO_VERSION = "version.none";

    /** The message key. */
    static final String MSG_DUPLICATE_VERSION = "version.duplicate";

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        if (section == Section.ADAPTER) {
            entry.field("versions").ifPresent(this::visitVersions);
        }
    }

    private void visitVersions(final DocumentNode versions) {
        if (versions.items().isEmpty()) {
            addViolation(versions.position(), MSG_NO_VERSION);
        }
        final Set<String> seen = new HashSet<>();
        for (final DocumentNode version : versions.items()) {
            if (!seen.add(version.text())) {
                addViolation(version.position(), MSG_DUPLICATE_VERSION, version.text());
            }
        }
    }
}
