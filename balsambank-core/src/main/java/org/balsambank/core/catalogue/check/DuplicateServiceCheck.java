package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two services have the same name.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateServiceCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateServiceCheck() {
        super(Section.SERVICE, "name");
    }
}
