package org.balsambank.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.core.Flowable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests over TCP connections that a planned stop leaves no request that was read whole without its whole answer.
 */
final class CallerServerStopTest {
    private static final int PIPELINED = 400;

    private CallerServerFixture fixture;

    @BeforeEach
    void open() throws IOException {
        fixture = new CallerServerFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against LOST: a stop ended before the last responses were written.
    @Test
    void stopWaitsUntilTheLastResponseIsWritten() throws Exception {
        final AtomicBoolean ended = fixture.longResponse();
        try (Socket socket = fixture.connect()) {
            CallerServerFixture.send(socket, CallerServerFixture.request("/long", ""));
            final StringBuilder read = CallerServerFixture.readUntil(ended, socket);
            final CountDownLatch stopped = fixture.stop();
            stopped.await(2 * CallerServerFixture.IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            CallerServerFixture.assertCompleteAfterRest(read, socket);
        }
    }

    // Guards against LOST: a stop ended while a request was being read, which got no answer.
    @Test
    void stopAnswersARequestThatIsBeingRead() throws Exception {
        fixture.responses.put("/short", Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END));
        try (Socket socket = fixture.connect()) {
            final String request = CallerServerFixture.request("/short", "");
            CallerServerFixture.send(socket, request.substring(0, request.length() - 1));
            fixture.roundTrip();
            final CountDownLatch stopped = fixture.stop();
            stopped.await(CallerServerFixture.IDLE_TIMEOUT.toMillis() / 2, TimeUnit.MILLISECONDS);
            CallerServerFixture.send(socket, request.substring(request.length() - 1));
            CallerServerFixture.assertAnswers(1, socket);
        }
    }

    // Guards against LOST: a stop ended when a response ended, with requests waiting behind it.
    @Test
    void stopAnswersPipelinedRequests() throws Exception {
        final Runnable release = fixture.hold("/held");
        fixture.responses.put("/short", Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END));
        try (Socket socket = fixture.connect()) {
            CallerServerFixture.send(socket, CallerServerFixture.request("/held", ""));
            final String padding = "X-Long: " + "x".repeat(CallerServerFixture.HEADER_BYTES / 2) + "\r\n";
            CallerServerFixture.send(
                    socket, CallerServerFixture.request("/short", padding).repeat(PIPELINED));
            fixture.roundTrip();
            fixture.stop();
            release.run();
            CallerServerFixture.assertAnswers(1 + PIPELINED, socket);
        }
    }

    // Guards against a stop that waits for callers that are gone or responses that were reset.
    @Test
    void stopDoesNotWaitForLostConnections() throws Exception {
        final AtomicBoolean ended = fixture.longResponse();
        fixture.responses.put("/never", Flowable.never());
        fixture.responses.put(
                "/reset",
                Flowable.just(CallerServerFixture.HEAD).concatWith(Flowable.error(new IOException("broken off"))));
        try (Socket unwritten = fixture.connect();
                Socket running = fixture.connect();
                Socket sending = fixture.connect();
                Socket reset = fixture.connect()) {
            CallerServerFixture.send(unwritten, CallerServerFixture.request("/long", ""));
            CallerServerFixture.readUntil(ended, unwritten);
            CallerServerFixture.send(running, CallerServerFixture.request("/never", ""));
            CallerServerFixture.send(
                    sending, CallerServerFixture.request("/never", "").replace("{}", ""));
            CallerServerFixture.send(reset, CallerServerFixture.request("/reset", ""));
            fixture.roundTrip();
        }
        assertTrue(fixture.stop().await(CallerServerFixture.READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
}
