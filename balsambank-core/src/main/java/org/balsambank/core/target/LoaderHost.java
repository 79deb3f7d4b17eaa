package org.balsambank.core.target;

import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;

/**
 * The target as seen by its {@link AdapterLoader}.
 *
 * <p>Confined to the decision loop.
 */
interface LoaderHost {
    /**
     * Returns the target.
     *
     * @return the target as defined by the current configuration
     */
    Target target();

    /**
     * Returns the fencing number for a command. Called immediately before each command is sent.
     *
     * @return the fencing number, or empty if this VM must not send commands now
     */
    Optional<Epoch> commandEpoch();

    /**
     * Returns whether queued requests need an adapter.
     *
     * @param adapter the adapter version
     * @return true if at least one request is queued for it
     */
    boolean hasQueuedFor(AdapterRef adapter);

    /** Called after adapters became usable. */
    void onAdaptersUsable();

    /**
     * Called after a load failed.
     *
     * @param adapter the adapter version
     */
    void onLoadFailed(AdapterRef adapter);

    /** Called when the target refused a command because it has seen a higher fencing number. */
    void onFenced();

    /**
     * Fetches a report after a load, so that a restart is detected before a request runs on the adapter.
     *
     * @return completes when the report was processed or could not be fetched
     */
    Completable detectRestart();

    /** Requests a report because the state of the target is uncertain. */
    void requestReport();
}
