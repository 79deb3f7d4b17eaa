package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that each owner and caller is a team of the catalogue.
 *
 * <p>Used for one file by one thread.
 */
final class UnknownTeamCheck extends AbstractCheck {
    /** Key of the message. */
    static final String MSG_UNKNOWN_TEAM = "team.unknown";

    private Set<String> teams = Set.of();

    @Override
    void beginDocument(final DocumentNode root) {
        teams = FieldValues.of(root, Section.TEAM.listName(), "id");
    }

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        entry.field("owner").ifPresent(this::visitTeam);
        entry.items("callers").forEach(this::visitTeam);
    }

    private void visitTeam(final DocumentNode team) {
        if (!teams.contains(team.text())) {
            log(team.position(), MSG_UNKNOWN_TEAM, team.text());
        }
    }
}
