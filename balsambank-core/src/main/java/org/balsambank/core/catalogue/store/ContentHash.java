package org.balsambank.core.catalogue.store;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.google.protobuf.ByteString;

/**
 * The SHA-256 hash of a content, which is also its storage address.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bytes the 32 bytes of the hash
 */
record ContentHash(ByteString bytes) {
    private static final String ALGORITHM = "SHA-256";

    /**
     * Hashes a content.
     *
     * @param content the content
     * @return its hash
     */
    static ContentHash of(final ByteString content) {
        try {
            final MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            content.asReadOnlyByteBufferList().forEach(digest::update);
            return new ContentHash(ByteString.copyFrom(digest.digest()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not support " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes.toByteArray());
    }
}
