package org.balsambank.core.error;

/** Says whether a caller may send the same request again. Immutable and thread-safe. */
public enum RetrySafety {
    /** The same request may be sent again and cannot run twice. */
    SAFE,
    /** The same request may run a second time if it is sent again. */
    UNSAFE,
    /** The same request would be refused again. */
    USELESS
}
