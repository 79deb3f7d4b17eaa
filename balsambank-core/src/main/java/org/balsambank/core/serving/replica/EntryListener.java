package org.balsambank.core.serving.replica;

import java.time.Duration;

import org.balsambank.core.port.KeyValueChange;

/** Hears of entries that have changed. Confined to the decision loop. */
public interface EntryListener {
    /**
     * An entry has changed.
     *
     * @param change the change, newer than any before it of the same key
     */
    void changed(KeyValueChange change);

    /**
     * The service answers again after an outage.
     *
     * @param ago how long it has done so
     */
    void regained(Duration ago);
}
