package org.balsambank.core.serving.request;

import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.serving.load.ServerLoad;

/**
 * The parts of a target's response head that retry and forwarding decisions use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param notExecuted whether the target states that it has not executed the request
 * @param sealed whether the response has the seal that every target adds
 * @param encoded whether the body has a content encoding; no target applies one
 * @param notice what the target says of itself
 * @param load the load that the target reports, if it reports any that can be read
 */
public record ResponseHead(
        int status,
        boolean notExecuted,
        boolean sealed,
        boolean encoded,
        TargetNotice notice,
        Optional<ServerLoad> load) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int MISDIRECTED_REQUEST = 421;

    /** Checks the fields. */
    public ResponseHead {
        Objects.requireNonNull(notice);
        Objects.requireNonNull(load);
    }

    /**
     * Creates the head of a response that reports no load.
     *
     * @param status the HTTP status code
     * @param notExecuted whether the target states that it has not executed the request
     * @param sealed whether the response has the seal that every target adds
     * @param encoded whether the body has a content encoding
     * @param notice what the target says of itself
     */
    public ResponseHead(
            final int status,
            final boolean notExecuted,
            final boolean sealed,
            final boolean encoded,
            final TargetNotice notice) {
        this(status, notExecuted, sealed, encoded, notice, Optional.empty());
    }

    /**
     * Returns whether a target that reports its pace has no free slot. It turns requests away then, which is no
     * failure.
     *
     * @return false if it has one, or does not report it
     */
    public boolean busy() {
        return load.filter(each -> each.pace().isPresent() && each.full()).isPresent();
    }

    /**
     * Returns whether the target has not executed the request.
     *
     * @return true if it states so, or says that the request was not meant for it
     */
    public boolean refused() {
        return notExecuted || status == MISDIRECTED_REQUEST;
    }

    /**
     * Returns whether the response is not one that a target sends.
     *
     * @return true if it is encoded, or a success without a seal
     */
    public boolean invalid() {
        return encoded || success() && !sealed;
    }

    /**
     * Returns whether the status code is a success.
     *
     * @return true for 2xx
     */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Returns whether the status code is a server error.
     *
     * @return true for 5xx
     */
    public boolean serverError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
