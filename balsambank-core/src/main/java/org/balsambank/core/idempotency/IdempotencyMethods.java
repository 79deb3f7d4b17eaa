package org.balsambank.core.idempotency;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.idempotency.BeginAnswer;
import org.balsambank.protocol.generated.idempotency.BeginRequest;
import org.balsambank.protocol.generated.idempotency.FinishAnswer;
import org.balsambank.protocol.generated.idempotency.FinishRequest;

/** The peer methods of idempotency records. Stateless and thread-safe. */
public final class IdempotencyMethods {
    /** Requests permission to run a call. */
    public static final PeerMethod<BeginRequest, BeginAnswer> BEGIN =
            new PeerMethod<>(41, "idempotency_begin", BeginRequest.parser(), BeginAnswer.parser());

    /** Reports the outcome of a call. */
    public static final PeerMethod<FinishRequest, FinishAnswer> FINISH =
            new PeerMethod<>(42, "idempotency_finish", FinishRequest.parser(), FinishAnswer.parser());

    private IdempotencyMethods() {}
}
