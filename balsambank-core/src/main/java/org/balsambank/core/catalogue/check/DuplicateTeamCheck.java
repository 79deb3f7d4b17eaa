package org.balsambank.core.catalogue.check;

import org.balsambank.core.catalogue.document.Section;

/**
 * Checks that no two teams have the same id.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class DuplicateTeamCheck extends AbstractDuplicateCheck {
    /** Creates the check. */
    DuplicateTeamCheck() {
        super(Section.TEAM, "id");
    }
}
