package org.balsambank.daemon.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;

import com.google.protobuf.UnsafeByteOperations;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.balsambank.protocol.generated.relay.RelayEnd;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One request to a target and its answer.
 *
 * <p>Invariants: holds at most one part of the answer that nobody asked for; passes an end on only after a whole
 * answer; signals exactly one outcome. Confined to the decision loop.
 */
final class TargetCall implements Subscription {
    private static final int CHECKS_PER_SILENCE = 4;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_FENCED = 412;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_ERROR = 400;
    private static final String HEAD_METHOD = "HEAD";

    private final Target target;
    private final Epoch epoch;
    private final RelayRequest message;
    private final Subscriber<? super RelayEvent> subscriber;
    private final TimerService timer;
    private final long silenceNanos;
    private final Queue<RelayEvent> ready = new ArrayDeque<>(2);
    private final StreamEndDetector endMark = new StreamEndDetector();
    private HttpClientRequest request;
    private HttpClientResponse response;
    private Disposable silenceCheck = Disposable.disposed();
    private Optional<TargetException> failure = Optional.empty();
    private long demand;
    private long bytes;
    private long waitingSince;
    private boolean waiting;
    private boolean answerOver;
    private boolean finished;
    private boolean draining;

    /**
     * Creates a call that is not sent yet.
     *
     * @param target the target
     * @param epoch the fencing number
     * @param message the request
     * @param subscriber gets the answer
     * @param timer gives the time
     * @param timeouts the time limits
     */
    TargetCall(
            final Target target,
            final Epoch epoch,
            final RelayRequest message,
            final Subscriber<? super RelayEvent> subscriber,
            final TimerService timer,
            final TargetTimeouts timeouts) {
        this.target = Objects.requireNonNull(target);
        this.epoch = Objects.requireNonNull(epoch);
        this.message = Objects.requireNonNull(message);
        this.subscriber = Objects.requireNonNull(subscriber);
        this.timer = Objects.requireNonNull(timer);
        this.silenceNanos = message.getStreaming()
                ? timeouts.streamSilence().toNanos()
                : timeouts.answerSilence().toNanos();
    }

    /**
     * Sends the request once its connection is there.
     *
     * @param connection gives the request on a connection
     */
    void start(final Future<HttpClientRequest> connection) {
        connection.onComplete(this::send, error -> fail(Reason.NOT_SENT, "no connection: " + error.getMessage()));
    }

    @Override
    public void request(final long items) {
        demand = demand + items < 0 ? Long.MAX_VALUE : demand + items;
        drain();
    }

    @Override
    public void cancel() {
        if (!finished) {
            finish();
            abort();
        }
    }

    private void send(final HttpClientRequest connected) {
        request = connected;
        if (finished) {
            abort();
            return;
        }
        TargetHeaders.write(target, epoch, message, connected.headers());
        connected.exceptionHandler(error -> fail(Reason.LOST, "connection lost: " + error.getMessage()));
        waitForBytes();
        silenceCheck = timer.every(Duration.ofNanos(silenceNanos / CHECKS_PER_SILENCE))
                .subscribe(tick -> checkSilence(), error -> fail(Reason.LOST, "no timer"));
        connected
                .send(Buffer.buffer(message.getBody().toByteArray()))
                .onComplete(this::answered, error -> fail(Reason.LOST, "no answer: " + error.getMessage()));
    }

    private void answered(final HttpClientResponse answer) {
        if (finished) {
            return;
        }
        answer.pause();
        response = answer;
        waiting = false;
        final Optional<Reason> refusal = refusal(answer.statusCode());
        if (refusal.isPresent()) {
            answer.handler(ignored -> {}).exceptionHandler(ignored -> {});
            answer.resume();
            signalFailure(new TargetException(refusal.get(), "status " + answer.statusCode()));
            return;
        }
        answer.handler(this::part)
                .endHandler(ignored -> ended())
                .exceptionHandler(error -> fail(Reason.LOST, "answer cut short: " + error.getMessage()));
        ready.add(RelayEvent.newBuilder()
                .setHead(TargetHeaders.head(answer.statusCode(), answer.headers()))
                .build());
        drain();
    }

    private Optional<Reason> refusal(final int status) {
        if (target.kind() != TargetKind.MODEL_RUNNER) {
            return Optional.empty();
        }
        switch (status) {
            case STATUS_FENCED:
                return Optional.of(Reason.FENCED);
            case STATUS_NOT_FOUND:
            case STATUS_TOO_MANY:
            case STATUS_UNAVAILABLE:
                return Optional.of(Reason.REFUSED);
            default:
                return Optional.empty();
        }
    }

    private void part(final Buffer data) {
        waiting = false;
        bytes += data.length();
        endMark.accept(data);
        ready.add(RelayEvent.newBuilder()
                .setChunk(RelayChunk.newBuilder().setData(UnsafeByteOperations.unsafeWrap(data.getBytes())))
                .build());
        drain();
    }

    private void ended() {
        if (finished || answerOver) {
            return;
        }
        if (!whole()) {
            fail(Reason.LOST, "the answer has no end mark");
            return;
        }
        end();
    }

    private void end() {
        answerOver = true;
        ready.add(RelayEvent.newBuilder()
                .setEnd(RelayEnd.newBuilder().setBytes(bytes))
                .build());
        drain();
    }

    private boolean whole() {
        if (message.getStreaming() && response.statusCode() < STATUS_ERROR) {
            return endMark.seen();
        }
        final MultiMap headers = response.headers();
        return headers.contains("content-length")
                || headers.contains("transfer-encoding")
                || response.statusCode() == STATUS_NO_CONTENT
                || response.statusCode() == STATUS_NOT_MODIFIED
                || HEAD_METHOD.equals(message.getHttpMethod());
    }

    private void checkSilence() {
        if (waiting && timer.nanoTime() - waitingSince >= silenceNanos) {
            fail(Reason.LOST, "the target is silent");
        }
    }

    private void waitForBytes() {
        waiting = true;
        waitingSince = timer.nanoTime();
    }

    private void fail(final Reason reason, final String detail) {
        if (finished || answerOver) {
            return;
        }
        if (message.getStreaming() && response != null && endMark.seen()) {
            end();
            abort();
            return;
        }
        answerOver = true;
        failure = Optional.of(new TargetException(reason, detail));
        abort();
        drain();
    }

    private void drain() {
        if (draining || finished) {
            return;
        }
        draining = true;
        while (!finished && demand > 0 && !ready.isEmpty()) {
            demand--;
            subscriber.onNext(ready.poll());
        }
        draining = false;
        if (!finished) {
            afterDrain();
        }
    }

    private void afterDrain() {
        if (answerOver && ready.isEmpty()) {
            failure.ifPresentOrElse(this::signalFailure, this::signalComplete);
        } else if (demand > 0 && ready.isEmpty() && response != null && !waiting) {
            waitForBytes();
            response.fetch(1);
        }
    }

    private void signalComplete() {
        finish();
        subscriber.onComplete();
    }

    private void signalFailure(final TargetException error) {
        finish();
        subscriber.onError(error);
    }

    private void finish() {
        finished = true;
        silenceCheck.dispose();
    }

    private void abort() {
        if (request != null) {
            request.reset();
        }
    }
}
