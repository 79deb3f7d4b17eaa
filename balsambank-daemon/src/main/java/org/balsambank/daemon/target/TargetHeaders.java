package org.balsambank.daemon.target;

import java.util.Locale;
import java.util.Set;

import io.vertx.core.MultiMap;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.Epoch;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * Converts headers between relay messages and the HTTP messages of targets.
 *
 * <p>Stateless and thread-safe. Headers that can carry an API key are never sent to a target.
 */
final class TargetHeaders {
    /** Carries the epoch of the owner; engines refuse an epoch lower than the highest that they have seen. */
    static final String FENCING_NUMBER = "X-Fencing-Number";

    private static final String REQUEST_ID = "X-Request-Id";
    private static final String PRIORITY = "X-Priority";
    private static final String TRACE_PARENT = "traceparent";
    private static final String CONTENT_TYPE = "content-type";
    private static final String JSON = "application/json";
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "host",
            "expect");
    private static final Set<String> CREDENTIAL_HEADERS = Set.of(
            "authorization", "proxy-authorization", "x-api-key", "api-key", "x-auth-token", "x-access-token", "cookie");

    private TargetHeaders() {}

    /**
     * Sets the headers of a request to a target.
     *
     * @param target the target to send to
     * @param epoch the fencing number
     * @param request the relayed request
     * @param out the headers to set
     */
    static void setRequestHeaders(
            final Target target, final Epoch epoch, final RelayRequest request, final MultiMap out) {
        for (final RelayHeader header : request.getHeadersList()) {
            final String name = header.getName().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !CREDENTIAL_HEADERS.contains(name)) {
                out.add(header.getName(), header.getValue());
            }
        }
        if (!out.contains(CONTENT_TYPE) && !request.getBody().isEmpty()) {
            out.set(CONTENT_TYPE, JSON);
        }
        out.set(REQUEST_ID, request.getRequestId());
        if (!request.getTraceParent().isEmpty()) {
            out.set(TRACE_PARENT, request.getTraceParent());
        }
        if (target.kind() == TargetKind.MODEL_RUNNER) {
            final int priority = TrafficClass.valueOf(request.getTrafficClass()).weight();
            out.set(PRIORITY, String.valueOf(priority));
            out.set(FENCING_NUMBER, String.valueOf(epoch.value()));
        }
    }

    /**
     * Returns whether a response may belong to a request. Not every target repeats the id of the request.
     *
     * @param headers the headers of the response
     * @param request the request
     * @return false if the response names another request
     */
    static boolean mayBelongTo(final MultiMap headers, final RelayRequest request) {
        return headers.getAll(REQUEST_ID).stream().allMatch(request.getRequestId()::equals);
    }

    /**
     * Converts the head of a response.
     *
     * @param status the HTTP status
     * @param headers the headers of the response
     * @return the head without hop-by-hop headers
     */
    static RelayHead toRelayHead(final int status, final MultiMap headers) {
        final RelayHead.Builder head = RelayHead.newBuilder().setStatus(status);
        headers.forEach((name, value) -> {
            if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                head.addHeaders(RelayHeader.newBuilder().setName(name).setValue(value));
            }
        });
        return head.build();
    }
}
