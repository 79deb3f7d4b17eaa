package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two keys have the same name.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateKeyNameCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateKeyNameCheck() {
        super(Section.KEY, "name");
    }
}
