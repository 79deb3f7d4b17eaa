package org.balsambank.core.target;

import org.balsambank.core.catalogue.Target;

/**
 * A target with the precomputed hash of its id.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param hash the hash of its id
 */
record HashedTarget(Target target, long hash) {
    /**
     * Creates a target with the hash of its id.
     *
     * @param target the target whose id is hashed
     * @return the target and its hash
     */
    static HashedTarget of(final Target target) {
        return new HashedTarget(target, RendezvousHash.of(target.id().value()));
    }
}
