package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.serving.target.TargetState;

/**
 * Chooses one of the targets that can take a request.
 *
 * <p>Confined to the decision loop.
 */
interface TargetPolicy {
    /**
     * Chooses a target.
     *
     * @param required what the request needs
     * @param candidates the targets of its service that may receive it
     * @return the choice, empty if none of them can take the request
     */
    Optional<TargetChoice> choose(TargetRequirements required, List<TargetState> candidates);
}
