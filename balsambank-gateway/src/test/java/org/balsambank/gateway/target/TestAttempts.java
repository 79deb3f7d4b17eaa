package org.balsambank.gateway.target;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.id.RequestId;

/** Creates attempts of requests without a body. */
final class TestAttempts {
    private TestAttempts() {}

    /** Creates an attempt to send a GET; the listener gets its response and its events. */
    static TargetAttempt of(final String id, final RecordingListener listener) {
        final HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/p/x");
        return new TargetAttempt(
                new TestDialect(),
                new RequestId(id),
                request,
                request.headers(),
                Unpooled.EMPTY_BUFFER,
                false,
                listener,
                listener);
    }
}
