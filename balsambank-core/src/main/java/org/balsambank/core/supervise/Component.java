package org.balsambank.core.supervise;

import io.reactivex.rxjava3.core.Completable;

/**
 * A long-running part of the program.
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
     * Runs the part. A disposed subscription stops it.
     *
     * @return fails when the part has failed; each subscription runs the part from its start
     */
    Completable run();
}
