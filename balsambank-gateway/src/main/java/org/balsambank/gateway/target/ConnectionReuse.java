package org.balsambank.gateway.target;

import java.util.Objects;
import java.util.Set;

/**
 * Decides which calls a connection may carry after a call.
 *
 * <p>Responses to orders, reports and calls of the store have no request id. A late second copy of one is therefore
 * taken for the response to the next call on its connection. So a connection carries only repetitions of one call whose
 * earlier response does no harm. Immutable and thread-safe.
 *
 * @param call the name of the call whose repetitions may follow, empty if none may
 * @param keptAfter the statuses after which a repetition may follow
 */
public record ConnectionReuse(String call, Set<Integer> keptAfter) {
    /** The connection carries one call. */
    public static final ConnectionReuse NONE = new ConnectionReuse("", Set.of());

    /** Checks and copies the components. */
    public ConnectionReuse {
        Objects.requireNonNull(call);
        keptAfter = Set.copyOf(keptAfter);
    }

    /**
     * Allows repetitions of a call on its connection.
     *
     * @param call the name of the call, unique among the calls to its address
     * @param status the status after which a repetition may follow
     * @return the decision
     */
    public static ConnectionReuse byRepetitionsOf(final String call, final int status) {
        return new ConnectionReuse(call, Set.of(status));
    }
}
