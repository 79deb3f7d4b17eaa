package org.balsambank.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.opentelemetry.api.OpenTelemetry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.balsambank.core.request.CallerRequest;
import org.balsambank.core.request.InFlightCounter;
import org.balsambank.core.request.Spans;
import org.balsambank.core.time.TimerService;
import org.balsambank.daemon.DecisionLoop;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.balsambank.protocol.generated.relay.RelayEnd;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A server for callers on loopback with short time limits, whose responses are set by the test, and callers over TCP.
 *
 * <p>Like on a VM, the server runs on one event loop, and requests that run are counted for a stop.
 */
final class CallerServerFixture implements AutoCloseable {
    static final Duration SEND_TIMEOUT = Duration.ofMillis(1200);
    static final Duration IDLE_TIMEOUT = Duration.ofMillis(400);
    static final int READ_TIMEOUT_MILLIS = 5_000;
    static final int HEADER_BYTES = 4096;
    static final RelayEvent HEAD = RelayEvent.newBuilder()
            .setHead(RelayHead.newBuilder().setStatus(200))
            .build();
    static final RelayEvent END =
            RelayEvent.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build();
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int READ_BYTES = 4 << 10;
    private static final int CHUNK_BYTES = 8 << 10;
    private static final int CHUNKS_LESS = 6;
    private static final int SHOWN_CHARACTERS = 40;
    private static final int STUCK_MILLIS = 200;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final RelayEvent CHUNK = RelayEvent.newBuilder()
            .setChunk(RelayChunk.newBuilder().setData(ByteString.copyFromUtf8("x".repeat(CHUNK_BYTES))))
            .build();

    final Map<String, Flowable<RelayEvent>> responses = new ConcurrentHashMap<>();
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final TimerService timer = new DecisionLoop(context).timer();
    private final InFlightCounter inFlight = new InFlightCounter(new SimpleMeterRegistry(), "entry");
    private final CountDownLatch testEnded = new CountDownLatch(1);
    private CallerServer server;
    private int port;

    CallerServerFixture() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = probe.getLocalPort();
        }
        onLoop(Completable.defer(() -> {
                    server = new CallerServer(
                            vertx,
                            new CallerLimits(2048, HEADER_BYTES, SEND_TIMEOUT, IDLE_TIMEOUT, Duration.ofSeconds(30)),
                            this::respond,
                            timer,
                            new Spans(OpenTelemetry.noop().getTracer("test")),
                            new SimpleMeterRegistry());
                    return server.listen("127.0.0.1", port);
                }))
                .blockingAwait();
    }

    @Override
    public void close() {
        testEnded.countDown();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private Flowable<RelayEvent> respond(final CallerRequest request) {
        return Flowable.defer(() -> {
            inFlight.enter();
            return responses.get(request.path()).doFinally(inFlight::leave);
        });
    }

    Flowable<RelayEvent> delayed(final Duration delay) {
        return timer.after(delay).andThen(Flowable.just(HEAD, END));
    }

    /** Prepares a response that begins when the returned task is run. */
    Runnable hold(final String path) {
        final CompletableSubject held = CompletableSubject.create();
        responses.put(path, held.andThen(Flowable.just(HEAD, END)));
        return () -> onLoop(Completable.fromAction(held::onComplete)).blockingAwait();
    }

    /** Prepares a response of which the last bytes fit into the buffers of the server but not into the system's. */
    AtomicBoolean longResponse() throws Exception {
        final AtomicInteger written = new AtomicInteger();
        responses.put(
                "/endless",
                Flowable.just(HEAD)
                        .concatWith(Flowable.just(CHUNK).repeat().doOnNext(ignored -> written.incrementAndGet())));
        try (Socket socket = connect()) {
            send(socket, request("/endless", ""));
            int before = -1;
            while (written.get() == 0 || written.get() != before) {
                before = written.get();
                Thread.sleep(STUCK_MILLIS);
            }
        }
        final AtomicBoolean ended = new AtomicBoolean();
        responses.put(
                "/long",
                Flowable.just(HEAD)
                        .concatWith(Flowable.just(CHUNK).repeat(written.get() - CHUNKS_LESS))
                        .concatWith(Flowable.just(END))
                        .doOnComplete(() -> ended.set(true)));
        return ended;
    }

    /** Reads only as much as the handler needs in order to end its response. */
    static StringBuilder readUntil(final AtomicBoolean ended, final Socket socket) throws Exception {
        final StringBuilder read = new StringBuilder();
        Thread.sleep(STUCK_MILLIS);
        while (!ended.get() && readSome(socket, read)) {
            Thread.sleep(1);
        }
        return read;
    }

    /** Stops the server. When the stop has ended the loop does nothing more, like that of a process that has exited. */
    CountDownLatch stop() {
        final CountDownLatch stopped = new CountDownLatch(1);
        onLoop(Completable.defer(inFlight::stop).andThen(Completable.defer(server::stop)))
                .subscribe(() -> {
                    stopped.countDown();
                    testEnded.await();
                });
        return stopped;
    }

    /** Returns after the loop has read what other callers had sent before. */
    void roundTrip() throws IOException {
        responses.put("/round-trip", Flowable.just(HEAD, END));
        try (Socket socket = connect()) {
            send(socket, request("/round-trip", ""));
            assertAnswers(1, socket);
        }
    }

    private Completable onLoop(final Completable task) {
        return timer.after(Duration.ZERO).andThen(task);
    }

    Socket connect() throws IOException {
        final Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return socket;
    }

    static String request(final String path, final String headers) {
        return "POST /services/orders" + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: 2\r\n\r\n{}";
    }

    static void send(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static boolean readSome(final Socket socket, final StringBuilder read) throws IOException {
        final byte[] bytes = new byte[READ_BYTES];
        final int count = socket.getInputStream().read(bytes);
        if (count > 0) {
            read.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
        }
        return count >= 0;
    }

    static void assertCompleteAfterRest(final StringBuilder read, final Socket socket) {
        try {
            while (!endsWith(read, LAST_CHUNK) && readSome(socket, read)) {
                Thread.onSpinWait();
            }
        } catch (final IOException e) {
            read.append(e);
        }
        final String end = read.substring(Math.max(0, read.length() - SHOWN_CHARACTERS));
        assertTrue(endsWith(read, LAST_CHUNK), () -> read.length() + " characters, the last ones: " + end);
    }

    private static boolean endsWith(final StringBuilder read, final String end) {
        return read.length() >= end.length()
                && read.substring(read.length() - end.length()).equals(end);
    }

    static String assertAnswers(final int expected, final Socket socket) throws IOException {
        final StringBuilder read = new StringBuilder();
        final InputStream in = socket.getInputStream();
        int answers = 0;
        while (answers < expected) {
            final int next;
            try {
                next = in.read();
            } catch (final IOException e) {
                assertEquals(expected, answers, e + " after " + read);
                return read.toString();
            }
            if (next < 0) {
                assertEquals(expected, answers, "closed after " + read);
            }
            read.append((char) next);
            if (endsWith(read, "0\r\n\r\n") || endsWith(read, "}}")) {
                answers++;
            }
        }
        return read.toString();
    }
}
