package org.balsambank.standin.kv;

/**
 * The result of a conditional write or removal.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the outcome of the operation
 * @param revision the revision of the key after the call, 0 if it does not exist
 */
record WriteResult(Status status, long revision) {
    /** The outcome of a write or a removal. */
    enum Status {
        /** The operation took effect. */
        DONE(200),
        /** The key does not have the expected revision; nothing changed. */
        CONFLICT(409),
        /** The lease has expired or was revoked; nothing changed. */
        LEASE_ENDED(410),
        /** The value exceeds the maximum length; nothing changed. */
        TOO_LARGE(413);

        private final int code;

        Status(final int code) {
            this.code = code;
        }

        /**
         * Returns the HTTP status.
         *
         * @return the status code
         */
        int code() {
            return code;
        }
    }
}
