package org.balsambank.standin.engine;

/** The decision of an engine on a request, a load or an unload. Immutable and thread-safe. */
enum Admission {
    /** The request is queued or running, or the load or unload is done. */
    ACCEPTED(200),
    /** The adapter is not loaded or has no weights; nothing ran. */
    NOT_LOADED(404),
    /** No adapter slot is free. */
    NO_SLOT(409),
    /** The fencing number is lower than one that the engine has already seen. */
    FENCED(412),
    /** The queue is full and the request did not run, or the load failed. */
    BUSY(503);

    private final int status;

    Admission(final int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status code
     */
    int status() {
        return status;
    }
}
