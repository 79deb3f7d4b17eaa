package org.balsambank.core.catalogue.key;

import org.balsambank.core.id.KeyId;
import org.balsambank.core.id.TeamId;

/**
 * The owner of a presented key.
 *
 * <p>Immutable and thread-safe. Does not contain the key itself.
 *
 * @param team the team
 * @param key the id of the key
 */
public record KeyMatch(TeamId team, KeyId key) {}
