package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two targets have the same id.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateTargetCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateTargetCheck() {
        super(Section.TARGET, "id");
    }
}
