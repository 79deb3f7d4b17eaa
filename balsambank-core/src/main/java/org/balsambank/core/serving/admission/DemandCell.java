package org.balsambank.core.serving.admission;

import java.util.Optional;

import org.balsambank.core.id.TeamId;
import org.balsambank.core.target.RendezvousHash;

/**
 * The requests of one team with one priority, as an item of the fleet's sums.
 *
 * <p>The team is a hash of its name, as names would make the sums several times as large. Immutable and thread-safe.
 *
 * @param team the hash of the team's name; {@link #OTHERS} stands for all teams that are not listed
 * @param priority the priority; a lower number is more urgent
 */
public record DemandCell(int team, int priority) {
    /** The teams that are not listed by themselves. */
    public static final int OTHERS = 0;

    private static final int MAX_PRIORITY = 1_000;

    /** Clamps the priority. */
    public DemandCell {
        priority = Math.min(MAX_PRIORITY, Math.max(0, priority));
    }

    /**
     * Returns the cell of a request.
     *
     * @param team the team, empty for callers without an API key
     * @param priority the priority
     * @return the cell
     */
    public static DemandCell of(final Optional<TeamId> team, final int priority) {
        final int hash = team.map(each -> (int) RendezvousHash.of(each.value())).orElse(1);
        return new DemandCell(hash == OTHERS ? 1 : hash, priority);
    }
}
