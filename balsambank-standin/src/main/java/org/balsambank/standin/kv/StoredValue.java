package org.balsambank.standin.kv;

/**
 * A stored value with the revision of its last write.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the value in base64
 * @param revision the revision of the store after the write
 * @param lease the lease that the key belongs to, 0 for none
 */
record StoredValue(String value, long revision, long lease) {}
