package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.request.CallerResponder;
import org.balsambank.core.serving.request.RequestExecution;

/**
 * A caller that records its final responses.
 *
 * <p>Confined to one thread.
 */
final class FakeCaller implements CallerResponder {
    final List<ErrorKind> rejections = new ArrayList<>();
    Optional<Duration> retryAfter = Optional.empty();
    RequestExecution request;
    int aborts;

    @Override
    public void reject(final ErrorKind kind, final Optional<Duration> wait) {
        rejections.add(kind);
        retryAfter = wait;
    }

    @Override
    public void abort() {
        aborts++;
    }

    ErrorKind rejection() {
        if (rejections.size() != 1) {
            throw new AssertionError("final responses: " + rejections);
        }
        return rejections.get(0);
    }
}
