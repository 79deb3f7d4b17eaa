package org.balsambank.core.catalogue.store;

/**
 * Detects that this VM is isolated from the key-value service and from a majority of the VMs.
 *
 * <p>Confined to the decision loop. An isolated VM cannot know which keys were withdrawn, so it executes no requests
 * and is not ready.
 */
@FunctionalInterface
public interface IsolationGuard {
    /**
     * Returns whether this VM is isolated, so that requests are rejected with {@code ISOLATED}.
     *
     * @return true if this VM is isolated
     */
    boolean isolated();
}
