package org.balsambank.core.error;

/**
 * The kinds of errors, each with the HTTP status and the retry advice returned to the caller. The list is closed.
 *
 * <p>Immutable and thread-safe. {@link Executed#NO} is a guarantee that no byte of the request reached a target.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, Executed.NO, RetrySafety.USELESS),
    BODY_TOO_LARGE(413, Executed.NO, RetrySafety.USELESS),
    HEADERS_TOO_LARGE(431, Executed.NO, RetrySafety.USELESS),
    SLOW_SENDER(408, Executed.NO, RetrySafety.SAFE),
    UNAUTHENTICATED(401, Executed.NO, RetrySafety.USELESS),
    KEY_WITHDRAWN(401, Executed.NO, RetrySafety.USELESS),
    FORBIDDEN(403, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_ADAPTER(404, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_SERVICE(404, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_ROUTE(404, Executed.NO, RetrySafety.USELESS),
    RATE_EXCEEDED(429, Executed.NO, RetrySafety.SAFE),
    OVERLOADED(503, Executed.NO, RetrySafety.SAFE),
    NO_TARGET(503, Executed.NO, RetrySafety.SAFE),
    NO_OWNER(503, Executed.NO, RetrySafety.SAFE),
    ADAPTER_LOAD_FAILED(503, Executed.NO, RetrySafety.SAFE),
    ISOLATED(503, Executed.NO, RetrySafety.SAFE),
    STOPPING(503, Executed.NO, RetrySafety.SAFE),
    DEADLINE_BEFORE_RUN(504, Executed.NO, RetrySafety.SAFE),
    POISON_REQUEST(422, Executed.NO, RetrySafety.USELESS),
    IDEMPOTENCY_MISMATCH(422, Executed.NO, RetrySafety.USELESS),
    IDEMPOTENCY_UNAVAILABLE(503, Executed.NO, RetrySafety.SAFE),
    IDEMPOTENCY_RUNNING(409, Executed.UNKNOWN, RetrySafety.SAFE),
    IDEMPOTENCY_UNKNOWN(409, Executed.UNKNOWN, RetrySafety.USELESS),
    TARGET_FAILED(502, Executed.YES, RetrySafety.UNSAFE),
    TARGET_LOST(502, Executed.UNKNOWN, RetrySafety.UNSAFE),
    PEER_LOST(502, Executed.UNKNOWN, RetrySafety.UNSAFE),
    WRONG_ADAPTER(502, Executed.YES, RetrySafety.UNSAFE),
    DEADLINE_DURING_RUN(504, Executed.UNKNOWN, RetrySafety.UNSAFE),
    INTERNAL(500, Executed.UNKNOWN, RetrySafety.UNSAFE);

    private final int status;
    private final Executed executed;
    private final RetrySafety retrySafety;

    ErrorKind(final int status, final Executed executed, final RetrySafety retrySafety) {
        this.status = status;
        this.executed = executed;
        this.retrySafety = retrySafety;
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the request was executed.
     *
     * @return the execution status reported to the caller
     */
    public Executed executed() {
        return executed;
    }

    /**
     * Returns whether the caller can safely retry the request.
     *
     * @return the retry advice reported to the caller
     */
    public RetrySafety retrySafety() {
        return retrySafety;
    }

    /**
     * Returns the name used in responses, logs and metrics.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
