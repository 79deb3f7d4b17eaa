package org.balsambank.core.catalogue.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

import org.balsambank.core.catalogue.KeyHash;

/**
 * Hashes API keys with a salt and generates new keys and salts.
 *
 * <p>Stateless and thread-safe. The hash is SHA-256 over the bytes of the salt followed by the key in UTF-8.
 */
public final class KeyHasher {
    private static final String ALGORITHM = "SHA-256";
    private static final int SALT_BYTES = 16;
    private static final int KEY_BYTES = 32;

    private KeyHasher() {}

    /**
     * Hashes a key.
     *
     * @param salt the bytes of the salt
     * @param key the key
     * @return the bytes of the hash
     */
    static byte[] hash(final byte[] salt, final String key) {
        final MessageDigest digest = digest();
        digest.update(salt);
        return digest.digest(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Hashes a key for storage in the catalogue.
     *
     * @param name the name by which operators withdraw the key
     * @param salt the salt, in lower-case hexadecimal
     * @param key the key
     * @return the stored form of the key
     */
    public static KeyHash hashKey(final String name, final String salt, final String key) {
        final HexFormat hex = HexFormat.of();
        return new KeyHash(name, salt, hex.formatHex(hash(hex.parseHex(salt), key)));
    }

    /**
     * Generates a salt.
     *
     * @param random the random number generator
     * @return the salt, in lower-case hexadecimal
     */
    public static String newSalt(final SecureRandom random) {
        return HexFormat.of().formatHex(bytes(random, SALT_BYTES));
    }

    /**
     * Generates a key that cannot be guessed.
     *
     * @param random the random number generator
     * @return the key, 32 random bytes in unpadded URL-safe Base64
     */
    public static String newKey(final SecureRandom random) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(random, KEY_BYTES));
    }

    private static byte[] bytes(final SecureRandom random, final int count) {
        final byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not support " + ALGORITHM, e);
        }
    }
}
