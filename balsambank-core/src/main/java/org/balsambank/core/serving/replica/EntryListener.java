package org.balsambank.core.serving.replica;

import java.time.Duration;

import org.balsambank.core.port.KeyValueChange;

/** Receives changes of the entries of the key-value service. Confined to the decision loop. */
public interface EntryListener {
    /**
     * Called when an entry has changed.
     *
     * @param change the change, newer than all earlier changes of the same key
     */
    void changed(KeyValueChange change);

    /**
     * Called when the key-value service is available again after an outage.
     *
     * @param ago the time since it became available
     */
    void storeRecovered(Duration ago);

    /**
     * Called when the replica is complete in a new era of the key-value service, after its changes.
     *
     * @param era the era
     */
    void eraComplete(long era);
}
