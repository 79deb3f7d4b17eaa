package org.balsambank.core.partition;

/**
 * An assignment with its revision in the key-value store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param assignment the assignment
 * @param revision the revision of its key, or the revision that stands for an absent key
 */
record StoredAssignment(Assignment assignment, long revision) {}
