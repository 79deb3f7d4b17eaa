package org.balsambank.standin.kv;

import java.util.Optional;

/**
 * A write or a removal of one key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key
 * @param value the new value in base64, empty for a removal
 * @param revision the revision of the store after the change
 */
record KeyChange(String key, Optional<String> value, long revision) {}
