package org.balsambank.core.port;

import com.google.protobuf.ByteString;

/**
 * One key of the key-value service with its value.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key
 * @param value the value
 * @param revision the revision of the store in which the key was last written
 */
public record KeyValueEntry(String key, ByteString value, long revision) {}
