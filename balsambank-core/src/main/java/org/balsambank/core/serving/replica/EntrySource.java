package org.balsambank.core.serving.replica;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.KeyValueChange;

/** Fetches entries from another VM while the key-value service cannot be read. Confined to the decision loop. */
public interface EntrySource {
    /**
     * Fetches the changes after a revision from another VM.
     *
     * @param after the revision that this VM knows
     * @return the changes that the other VM knows; fails if it does not respond
     */
    Single<List<KeyValueChange>> changesAfter(long after);
}
