package org.balsambank.core.serving.duty;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.ResponseHead;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.time.TimerService;

/**
 * Counts the attempts that targets began to run, and passes all events on.
 *
 * <p>A request to an engine begins at the first chunk of a successful response; if the response is buffered, when its
 * head arrives. A request to a plain service begins when it is sent, unless the target states that it has not executed
 * it: a target starts it within milliseconds, while its response may take seconds. Requests without a team are not
 * counted. Confined to the decision loop.
 */
final class CountingSender implements TargetSender {
    private static final int MISDIRECTED_REQUEST = 421;

    private final TargetSender sender;
    private final BegunRequests begun;
    private final Predicate<ServiceName> isEngine;
    private final TimerService timer;

    /**
     * Creates a sender.
     *
     * @param sender sends the attempts
     * @param begun counts them
     * @param isEngine whether the targets of a service run models
     * @param timer supplies the monotonic time
     */
    CountingSender(
            final TargetSender sender,
            final BegunRequests begun,
            final Predicate<ServiceName> isEngine,
            final TimerService timer) {
        this.sender = Objects.requireNonNull(sender);
        this.begun = Objects.requireNonNull(begun);
        this.isEngine = Objects.requireNonNull(isEngine);
        this.timer = Objects.requireNonNull(timer);
    }

    @Override
    public AttemptHandle send(final OutgoingAttempt outgoing, final AttemptListener listener) {
        final Counted counted = new Counted(outgoing, listener);
        counted.handle = sender.send(outgoing, counted);
        return counted;
    }

    /** One attempt. */
    private final class Counted implements AttemptListener, AttemptHandle {
        private final AttemptListener listener;
        private final Optional<TeamId> team;
        private final boolean engine;
        private final boolean buffered;
        private final long sentNanos = timer.nanoTime();
        private AttemptHandle handle;
        private ResponseHead head;
        private boolean counted;

        Counted(final OutgoingAttempt outgoing, final AttemptListener listener) {
            this.listener = Objects.requireNonNull(listener);
            team = outgoing.team();
            engine = isEngine.test(outgoing.target().service());
            buffered = outgoing.buffered();
        }

        @Override
        public void headArrived(final ResponseHead received) {
            head = received;
            if (engine && buffered) {
                firstToken();
            } else if (!engine) {
                plainStarted();
            }
            listener.headArrived(received);
        }

        @Override
        public boolean head(final ResponseHead received) {
            return listener.head(received);
        }

        @Override
        public void chunk() {
            if (engine) {
                firstToken();
            }
            listener.chunk();
        }

        @Override
        public void lossInDoubt(final Single<LossFinding> finding) {
            listener.lossInDoubt(finding);
        }

        @Override
        public void ended(final AttemptEnd end) {
            if (!engine && end != AttemptEnd.NOT_SENT) {
                plainStarted();
            }
            listener.ended(end);
        }

        @Override
        public boolean cancel() {
            final boolean written = handle.cancel();
            if (!engine && written) {
                plainStarted();
            }
            return written;
        }

        private void firstToken() {
            if (head != null && head.success()) {
                count(timer.nanoTime());
            }
        }

        private void plainStarted() {
            if (head == null || !head.notExecuted() && head.status() != MISDIRECTED_REQUEST) {
                count(sentNanos);
            }
        }

        private void count(final long nanos) {
            if (!counted) {
                counted = true;
                team.ifPresent(each -> begun.begun(each, nanos));
            }
        }
    }
}
