package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two keys have the same hash.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateKeyHashCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateKeyHashCheck() {
        super(Section.KEY, "hash");
    }
}
