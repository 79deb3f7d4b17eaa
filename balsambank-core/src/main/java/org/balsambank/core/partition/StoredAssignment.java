package org.balsambank.core.partition;

/**
 * An assignment with its revision in the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param assignment the assignment of partitions to VMs
 * @param revision the revision of its key, or the revision that stands for an absent key
 */
record StoredAssignment(Assignment assignment, long revision) {}
