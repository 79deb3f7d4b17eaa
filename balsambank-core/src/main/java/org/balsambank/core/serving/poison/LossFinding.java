package org.balsambank.core.serving.poison;

import java.util.Locale;

/**
 * What the connections to a target show after a response of it was lost: whether its process has ended.
 *
 * <p>Immutable and thread-safe.
 */
public enum LossFinding {
    /** The target has sent bytes that are no response, so its process was running. */
    MALFORMED(true),
    /** Other connections to the same start of the target, open at the loss, stayed open. */
    CONNECTIONS_OPEN(true),
    /** The target has accepted a new connection at once, and it stayed open. */
    CONNECTION_ACCEPTED(true),
    /** All connections to the target have ended, and it refuses new ones. */
    CONNECTION_REFUSED(false),
    /** All connections to the target have ended, and a new one, accepted at first, has too. */
    CONNECTIONS_ENDED(false),
    /** Nothing shows that the process lives. */
    UNKNOWN(false);

    private final boolean survived;

    LossFinding(final boolean survived) {
        this.survived = survived;
    }

    /**
     * Returns whether the process of the target lives on, so that the loss is no crash.
     *
     * @return false if it has ended, or if that is not known
     */
    public boolean survived() {
        return survived;
    }

    /**
     * Returns the name of the finding in the log.
     *
     * @return the name, in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
