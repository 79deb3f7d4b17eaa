package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.request.CallerResponder;
import org.balsambank.core.serving.request.RequestExecution;

/**
 * A caller that notes its final answers.
 *
 * <p>Confined to one thread.
 */
final class FakeCaller implements CallerResponder {
    final List<ErrorKind> refusals = new ArrayList<>();
    Optional<Duration> retryAfter = Optional.empty();
    RequestExecution run;
    int brokenOff;

    @Override
    public void reject(final ErrorKind kind, final Optional<Duration> wait) {
        refusals.add(kind);
        retryAfter = wait;
    }

    @Override
    public void abort() {
        brokenOff++;
    }

    ErrorKind refusal() {
        if (refusals.size() != 1) {
            throw new AssertionError("final answers: " + refusals);
        }
        return refusals.get(0);
    }
}
