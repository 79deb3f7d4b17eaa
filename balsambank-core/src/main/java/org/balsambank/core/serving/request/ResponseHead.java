package org.balsambank.core.serving.request;

/**
 * The head of a target's answer, as far as decisions need it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the status
 * @param notExecuted whether the target says that the request has not run
 * @param sealed whether the answer has the target's seal
 * @param encoded whether the body has an encoding, which no target applies
 */
public record ResponseHead(int status, boolean notExecuted, boolean sealed, boolean encoded) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /**
     * Tells whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Tells whether the target failed.
     *
     * @return true for 5xx
     */
    public boolean serverError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
