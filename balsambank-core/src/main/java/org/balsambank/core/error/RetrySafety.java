package org.balsambank.core.error;

/** Whether a caller can safely retry a request. Immutable and thread-safe. */
public enum RetrySafety {
    /** A retry cannot execute the request twice. */
    SAFE,
    /** A retry may execute the request a second time. */
    UNSAFE,
    /** A retry would be rejected again. */
    USELESS
}
