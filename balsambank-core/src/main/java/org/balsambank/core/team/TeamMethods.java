package org.balsambank.core.team;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.team.ShareAnswer;
import org.balsambank.protocol.generated.team.ShareAsk;

/**
 * The peer methods of share lending.
 *
 * <p>Stateless and thread-safe.
 */
public final class TeamMethods {
    /** Reports demand to the owner of a team's rate, which responds with a share. */
    public static final PeerMethod<ShareAsk, ShareAnswer> REPORT =
            new PeerMethod<>(30, "share-ask", ShareAsk.parser(), ShareAnswer.parser());

    private TeamMethods() {}
}
