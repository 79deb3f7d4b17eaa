package org.balsambank.core.request;

import java.util.Optional;

import org.balsambank.core.id.KeyId;
import org.balsambank.core.id.TeamId;

/**
 * An authenticated caller.
 *
 * <p>Immutable and thread-safe. Does not contain the key itself.
 *
 * @param team the team that is charged
 * @param key the id of the key within the team; empty for an open adapter or route
 */
public record Caller(TeamId team, Optional<KeyId> key) {}
