package org.balsambank.core.supervise;

import io.reactivex.rxjava3.core.Completable;

/**
 * A long-running component of the process.
 *
 * <p>Confined to the decision loop.
 */
public interface Component {
    /**
     * Returns the name used in logs and metrics.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the component until the subscription is disposed.
     *
     * @return fails when the component fails; each subscription starts the component anew
     */
    Completable run();
}
