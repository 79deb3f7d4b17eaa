package org.balsambank.core.serving.replica;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.KeyValueChange;

/** Asks another VM for entries while the key-value service can't be read. Confined to the decision loop. */
public interface EntrySource {
    /**
     * Asks some other VM.
     *
     * @param after the revision that this VM has seen
     * @return the changes that the other VM knows; fails if none answers
     */
    Single<List<KeyValueChange>> changesAfter(long after);
}
