package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.port.TargetNotice;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * Reads what a target says of itself in the headers of a response.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoticeHeaders {
    /** The value 1 states that the target leaves. */
    public static final String LEAVING = "X-Leaving";
    /** The requests a second that the target takes from all VMs together, a decimal number. */
    public static final String REQUEST_LIMIT = "X-Request-Limit";

    private static final String RETRY_AFTER = "Retry-After";
    private static final String LEAVING_NOW = "1";

    private NoticeHeaders() {}

    /**
     * Reads the headers.
     *
     * @param head the head of a response
     * @return what it says of the target
     */
    public static TargetNotice read(final RelayHead head) {
        boolean leaving = false;
        Optional<String> retryAfter = Optional.empty();
        final List<String> limits = new ArrayList<>();
        for (final RelayHeader header : head.getHeadersList()) {
            if (header.getName().equalsIgnoreCase(LEAVING)) {
                leaving |= LEAVING_NOW.equals(header.getValue().trim());
            } else if (header.getName().equalsIgnoreCase(RETRY_AFTER)) {
                retryAfter = Optional.of(header.getValue());
            } else if (header.getName().equalsIgnoreCase(REQUEST_LIMIT)) {
                limits.add(header.getValue());
            }
        }
        return new TargetNotice(leaving, retryAfter, limits);
    }
}
