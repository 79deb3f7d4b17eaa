package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two adapters have the same id.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateAdapterCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateAdapterCheck() {
        super(Section.ADAPTER, "id");
    }
}
