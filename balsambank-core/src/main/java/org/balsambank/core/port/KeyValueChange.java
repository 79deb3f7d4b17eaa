package org.balsambank.core.port;

import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * A change of one key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the changed key
 * @param value the new value, or empty if the key was deleted
 * @param revision the store revision after the change
 */
public record KeyValueChange(String key, Optional<ByteString> value, long revision) {}
