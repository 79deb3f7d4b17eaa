package org.balsambank.core.catalogue.check;

import java.util.Set;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that owners and callers are teams defined in the catalogue.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class UnknownTeamCheck extends AbstractCheck {
    /** The message key. */
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
            addViolation(team.position(), MSG_UNKNOWN_TEAM, team.text());
        }
    }
}
