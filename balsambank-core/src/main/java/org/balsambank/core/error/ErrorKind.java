package org.balsambank.core.error;

/**
 * The kinds of errors, each with the HTTP status returned to the caller, whether the request was executed, and whether
 * a retry is safe. Callers receive no other kind.
 *
 * <p>Immutable and thread-safe. {@link Executed#NO} is a guarantee that no byte of the request reached a target.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, Executed.NO, RetrySafety.USELESS),
    BODY_TOO_LARGE(413, Executed.NO, RetrySafety.USELESS),
    HEADERS_TOO_LARGE(431, Executed.NO, RetrySafety.USELESS),
    /** The request did not arrive completely within the timeout. */
    SLOW_SENDER(408, Executed.NO, RetrySafety.SAFE),
    UNAUTHENTICATED(401, Executed.NO, RetrySafety.USELESS),
    /** The caller's key was withdrawn while the request was queued. */
    KEY_WITHDRAWN(401, Executed.NO, RetrySafety.USELESS),
    FORBIDDEN(403, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_ADAPTER(404, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_SERVICE(404, Executed.NO, RetrySafety.USELESS),
    UNKNOWN_ROUTE(404, Executed.NO, RetrySafety.USELESS),
    RATE_EXCEEDED(429, Executed.NO, RetrySafety.SAFE),
    OVERLOADED(503, Executed.NO, RetrySafety.SAFE),
    /** No target that is in service and reachable can run the request. */
    NO_TARGET(503, Executed.NO, RetrySafety.SAFE),
    /** The owner of the target, the team's rate or the idempotency shard is unknown, unreachable or has changed. */
    NO_OWNER(503, Executed.NO, RetrySafety.SAFE),
    ADAPTER_LOAD_FAILED(503, Executed.NO, RetrySafety.SAFE),
    /** This VM is disconnected from the key-value service and most VMs, or has no plan yet. */
    ISOLATED(503, Executed.NO, RetrySafety.SAFE),
    /** This VM is shutting down. */
    STOPPING(503, Executed.NO, RetrySafety.SAFE),
    /** The deadline passed before the request was sent to a target. */
    DEADLINE_BEFORE_RUN(504, Executed.NO, RetrySafety.SAFE),
    /** Earlier runs of the request crashed several targets, so it is not run again. */
    POISON_REQUEST(422, Executed.NO, RetrySafety.USELESS),
    /** A part of the prompt has crashed several targets, so no request with it is run. */
    POISON_PROMPT_PART(422, Executed.NO, RetrySafety.USELESS),
    /** The idempotency key was used for another call. */
    IDEMPOTENCY_MISMATCH(422, Executed.NO, RetrySafety.USELESS),
    /** The call could not be recorded under its idempotency key and was not run. */
    IDEMPOTENCY_UNAVAILABLE(503, Executed.NO, RetrySafety.SAFE),
    /** A call with the same idempotency key is in progress. */
    IDEMPOTENCY_RUNNING(409, Executed.UNKNOWN, RetrySafety.SAFE),
    /** An earlier call with the same idempotency key may have run; its outcome is unknown. */
    IDEMPOTENCY_UNKNOWN(409, Executed.UNKNOWN, RetrySafety.USELESS),
    TARGET_FAILED(502, Executed.YES, RetrySafety.UNSAFE),
    /** The connection to the target was lost before the response was complete. */
    TARGET_LOST(502, Executed.UNKNOWN, RetrySafety.UNSAFE),
    /** The connection to the VM that owns the target was lost before the response was complete. */
    PEER_LOST(502, Executed.UNKNOWN, RetrySafety.UNSAFE),
    /** The target responded for another adapter than the requested one. */
    WRONG_ADAPTER(502, Executed.YES, RetrySafety.UNSAFE),
    /** The deadline passed after the request may have been sent to a target. */
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
     * @return whether a retry is safe, as reported to the caller
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
