package org.balsambank.core.catalogue;

import org.balsambank.core.id.KeyId;

/**
 * The stored form of an API key: its name, a salt and the salted hash.
 *
 * <p>Immutable and thread-safe. The key itself is never stored.
 *
 * @param name the name by which operators withdraw the key
 * @param salt the salt, in lower-case hexadecimal
 * @param hash the SHA-256 of salt and key, in lower-case hexadecimal
 */
public record KeyHash(String name, String salt, String hash) {
    private static final int ID_CHARACTERS = 16;

    /**
     * Returns the id of the key, which also differs from that of a later key with the same name.
     *
     * @return the first 16 characters of the hash
     */
    public KeyId id() {
        return new KeyId(hash.substring(0, Math.min(ID_CHARACTERS, hash.length())));
    }
}
