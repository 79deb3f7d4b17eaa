package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.error.Executed;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Compares the request state machine with a reference that searches the complete history. Confined to one thread. */
final class RequestStateDifferentialTest {
    private static final int HISTORIES = 20_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final ErrorKind[] KINDS = ErrorKind.values();

    private final Random random = new Random(11);

    @Test
    void reportsNotRunOnlyIfNoAttemptMayHaveRun() {
        for (int i = 0; i < HISTORIES; i++) {
            final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
            final RequestState state = new RequestState(new RequestId("r" + i), invariants);
            final List<ErrorKind> history = new ArrayList<>();
            final ErrorKind last = attempts(state, history);
            final ErrorKind reported =
                    state.failed(new BalsambankException(last, "last")).kind();
            assertEquals(expected(history, last), reported, history + " then " + last);
            assertEquals(List.of(), invariants.violations());
            assertTrue(!state.beginAttempt(false), "no attempt is sent after the end");
            assertEquals(
                    reported.executed() == Executed.NO ? 1 : 0,
                    invariants.violations().size());
        }
    }

    private ErrorKind attempts(final RequestState state, final List<ErrorKind> history) {
        state.admitted();
        final int count = random.nextInt(MAX_ATTEMPTS);
        for (int i = 0; i < count; i++) {
            assertTrue(state.beginAttempt(false));
            final ErrorKind kind = KINDS[random.nextInt(KINDS.length)];
            if (kind.executed() != Executed.NO && random.nextBoolean()) {
                state.streaming();
            }
            state.attemptFailed(new BalsambankException(kind, "attempt"));
            history.add(kind);
        }
        return history.isEmpty() || random.nextInt(4) == 0
                ? KINDS[random.nextInt(KINDS.length)]
                : history.get(history.size() - 1);
    }

    private static ErrorKind expected(final List<ErrorKind> history, final ErrorKind last) {
        if (last.executed() != Executed.NO) {
            return last;
        }
        return history.stream()
                .filter(kind -> kind.executed() != Executed.NO)
                .findFirst()
                .orElse(last);
    }
}
