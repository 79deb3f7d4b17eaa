package org.balsambank.daemon.target;

import java.nio.charset.StandardCharsets;
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
import org.balsambank.core.port.CopyScanner;
import org.balsambank.core.port.JoinedHead;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;
import org.balsambank.core.request.NoticeHeaders;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.balsambank.protocol.generated.relay.RelayEnd;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One request to a target and its response.
 *
 * <p>Invariants: buffers at most one chunk of the response without demand; emits the end event only after a complete
 * response; signals exactly one outcome, or none after a cancel. Confined to the decision loop.
 */
final class TargetCall implements Subscription {
    private static final int CHECKS_PER_TIMEOUT = 4;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_FENCED = 412;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final String HEAD_METHOD = "HEAD";

    private final Target target;
    private final Epoch epoch;
    private final RelayRequest relayRequest;
    private final Subscriber<? super RelayEvent> subscriber;
    private final TimerService timer;
    private final ResponseFaults faults;
    private final long silenceTimeoutNanos;
    private final Queue<RelayEvent> events = new ArrayDeque<>(2);
    private final StreamEndDetector endDetector = new StreamEndDetector();
    private final CopyScanner copies;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private Disposable silenceCheck = Disposable.disposed();
    private Optional<TargetException> failure = Optional.empty();
    private long demand;
    private long receivedBytes;
    private long waitingSinceNanos;
    private boolean awaitingBytes;
    private boolean terminated;
    private boolean finished;
    private boolean draining;

    /**
     * Creates a call that is not sent yet.
     *
     * @param target the target to call
     * @param epoch the fencing number
     * @param relayRequest the request with its headers and body
     * @param subscriber receives the response
     * @param timer the clock and scheduler
     * @param timeouts the time limits
     * @param faults counts what the target sends instead of the response
     */
    TargetCall(
            final Target target,
            final Epoch epoch,
            final RelayRequest relayRequest,
            final Subscriber<? super RelayEvent> subscriber,
            final TimerService timer,
            final TargetTimeouts timeouts,
            final ResponseFaults faults) {
        this.target = Objects.requireNonNull(target);
        this.epoch = Objects.requireNonNull(epoch);
        this.relayRequest = Objects.requireNonNull(relayRequest);
        this.subscriber = Objects.requireNonNull(subscriber);
        this.timer = Objects.requireNonNull(timer);
        this.faults = Objects.requireNonNull(faults);
        copies = new CopyScanner(relayRequest.getRequestId()::equals);
        this.silenceTimeoutNanos = relayRequest.getStreaming()
                ? timeouts.streamSilence().toNanos()
                : timeouts.responseSilence().toNanos();
    }

    /**
     * Sends the request when a connection is available.
     *
     * @param connection completes with an HTTP request on an open connection
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
        TargetHeaders.setRequestHeaders(target, epoch, relayRequest, connected.headers());
        connected.exceptionHandler(error -> fail(Reason.LOST, "connection lost: " + error.getMessage()));
        waitForBytes();
        silenceCheck = timer.every(Duration.ofNanos(silenceTimeoutNanos / CHECKS_PER_TIMEOUT))
                .subscribe(tick -> checkSilence(), error -> fail(Reason.LOST, "silence timer failed"));
        connected
                .send(Buffer.buffer(relayRequest.getBody().toByteArray()))
                .onComplete(this::responseReceived, this::responseFailed);
    }

    private void responseFailed(final Throwable error) {
        if (!finished && !terminated) {
            faults.countIfMalformed(error);
        }
        fail(Reason.LOST, "no response: " + error.getMessage());
    }

    private void responseReceived(final HttpClientResponse received) {
        if (finished) {
            return;
        }
        received.pause();
        if (JoinedHead.matches(received.statusMessage(), received.headers())) {
            faults.count(ResponseFaults.Kind.JOINED_HEAD);
            fail(Reason.LOST, "the head holds the status line of another response");
            return;
        }
        if (!TargetHeaders.mayBelongTo(received.headers(), relayRequest)) {
            faults.count(ResponseFaults.Kind.OTHER_REQUEST);
            fail(Reason.LOST, "the response names another request");
            return;
        }
        response = received;
        awaitingBytes = false;
        final Optional<Reason> refusal = refusalReason(received.statusCode());
        if (refusal.isPresent()) {
            received.exceptionHandler(ignored -> {});
            signalFailure(new TargetException(
                    refusal.get(),
                    "status " + received.statusCode(),
                    NoticeHeaders.read(TargetHeaders.toRelayHead(received.statusCode(), received.headers()))));
            abort();
            return;
        }
        received.handler(this::chunkReceived)
                .endHandler(ignored -> responseEnded())
                .exceptionHandler(this::responseTruncated);
        events.add(RelayEvent.newBuilder()
                .setHead(TargetHeaders.toRelayHead(received.statusCode(), received.headers()))
                .build());
        drain();
    }

    private void responseTruncated(final Throwable error) {
        if (!finished && !terminated) {
            faults.countIfMalformed(error);
        }
        fail(Reason.LOST, "truncated response: " + error.getMessage());
    }

    private Optional<Reason> refusalReason(final int status) {
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

    private void chunkReceived(final Buffer data) {
        awaitingBytes = false;
        if (copies.append(data.toString(StandardCharsets.ISO_8859_1))) {
            if (!terminated) {
                faults.count(ResponseFaults.Kind.MALFORMED);
            }
            fail(Reason.LOST, "another response begins in the body");
            return;
        }
        receivedBytes += data.length();
        endDetector.accept(data);
        events.add(RelayEvent.newBuilder()
                .setChunk(RelayChunk.newBuilder().setData(UnsafeByteOperations.unsafeWrap(data.getBytes())))
                .build());
        drain();
    }

    private void responseEnded() {
        if (finished || terminated) {
            return;
        }
        if (!isComplete()) {
            fail(Reason.LOST, "the response is incomplete");
            return;
        }
        emitEnd();
    }

    private void emitEnd() {
        terminated = true;
        events.add(RelayEvent.newBuilder()
                .setEnd(RelayEnd.newBuilder().setBytes(receivedBytes))
                .build());
        drain();
    }

    private boolean isComplete() {
        if (relayRequest.getStreaming() && response.statusCode() < FIRST_ERROR_STATUS) {
            return endDetector.detected();
        }
        final MultiMap headers = response.headers();
        return headers.contains("content-length")
                || headers.contains("transfer-encoding")
                || response.statusCode() == STATUS_NO_CONTENT
                || response.statusCode() == STATUS_NOT_MODIFIED
                || HEAD_METHOD.equals(relayRequest.getHttpMethod());
    }

    private void checkSilence() {
        if (awaitingBytes && timer.nanoTime() - waitingSinceNanos >= silenceTimeoutNanos) {
            fail(Reason.LOST, "no bytes from the target before the silence timeout");
        }
    }

    private void waitForBytes() {
        awaitingBytes = true;
        waitingSinceNanos = timer.nanoTime();
    }

    private void fail(final Reason reason, final String detail) {
        if (finished || terminated) {
            return;
        }
        if (relayRequest.getStreaming() && response != null && endDetector.detected()) {
            emitEnd();
            abort();
            return;
        }
        terminated = true;
        failure = Optional.of(new TargetException(reason, detail));
        abort();
        drain();
    }

    private void drain() {
        if (draining || finished) {
            return;
        }
        draining = true;
        while (!finished && demand > 0 && !events.isEmpty()) {
            demand--;
            subscriber.onNext(events.poll());
        }
        draining = false;
        if (!finished) {
            afterDrain();
        }
    }

    private void afterDrain() {
        if (terminated && events.isEmpty()) {
            failure.ifPresentOrElse(this::signalFailure, this::signalComplete);
        } else if (demand > 0 && events.isEmpty() && response != null && !awaitingBytes) {
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
