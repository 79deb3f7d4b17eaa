package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.request.CallerSide;
import org.balsambank.core.serving.request.RequestRun;

/**
 * A caller that notes its final answers.
 *
 * <p>Confined to one thread.
 */
final class FakeCaller implements CallerSide {
    final List<ErrorKind> refusals = new ArrayList<>();
    Optional<Duration> retryAfter = Optional.empty();
    RequestRun run;
    int brokenOff;

    @Override
    public void refuse(final ErrorKind kind, final Optional<Duration> wait) {
        refusals.add(kind);
        retryAfter = wait;
    }

    @Override
    public void breakOff() {
        brokenOff++;
    }

    ErrorKind refusal() {
        if (refusals.size() != 1) {
            throw new AssertionError("final answers: " + refusals);
        }
        return refusals.get(0);
    }
}
