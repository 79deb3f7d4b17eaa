package org.balsambank.core.serving.replica;

import com.google.protobuf.ByteString;

/**
 * Orders the states of an entry across eras of the key-value service. In each era the service issues its revisions
 * again, so they do not tell whether the copy with which an era began holds an older state than was known before.
 *
 * <p>Thread-safe.
 */
public interface EntryOrder {
    /**
     * Returns what a new era means for an entry.
     *
     * @param key the key of the entry
     * @return the kind of the entry
     */
    Kind kind(String key);

    /**
     * Compares two values of an entry by the numbers that its writer gives it.
     *
     * @param key the key of the entry, which does not belong to the system
     * @param first a value
     * @param second another value
     * @return positive if the first is newer, negative if the second is newer, 0 if the numbers do not tell
     */
    int compare(String key, ByteString first, ByteString second);

    /** What a new era means for an entry. */
    enum Kind {
        /** Written by the system: void unless it is present again. */
        SYSTEM,
        /** Written by the operator: the newest known state stays in force until it is written again. */
        LASTING,
        /** Written by a target: as lasting, but a target that is missing in the copy has lapsed. */
        LAPSING
    }
}
