package org.balsambank.core.team;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.team.ShareAnswer;
import org.balsambank.protocol.generated.team.ShareAsk;

/**
 * The calls between VMs that lend shares of teams' rates.
 *
 * <p>Stateless and thread-safe.
 */
public final class TeamMethods {
    /** Asks the owner of a team's rate for units. */
    public static final PeerMethod<ShareAsk, ShareAnswer> REPORT =
            new PeerMethod<>(30, "share-ask", ShareAsk.parser(), ShareAnswer.parser());

    private TeamMethods() {}
}
