package org.balsambank.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.core.Flowable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests over TCP connections that neither the idle time-out nor a close on demand loses a request or cuts a response.
 */
final class CallerServerIdleTest {
    private CallerServerFixture fixture;

    @BeforeEach
    void open() throws IOException {
        fixture = new CallerServerFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against LOST: an idle time-out that cuts a response of which bytes still wait to be written.
    @Test
    void idleTimeoutDoesNotCutTheResponseOfASlowReader() throws Exception {
        final AtomicBoolean ended = fixture.longResponse();
        try (Socket socket = fixture.connect()) {
            CallerServerFixture.send(socket, CallerServerFixture.request("/long", ""));
            final StringBuilder read = CallerServerFixture.readUntil(ended, socket);
            Thread.sleep(2 * CallerServerFixture.IDLE_TIMEOUT.toMillis());
            CallerServerFixture.assertCompleteAfterRest(read, socket);
        }
    }

    // Guards against LOST: a close that the caller asked for and that cuts a response which still waits to be written.
    @Test
    void closeOnDemandDoesNotCutTheResponseOfASlowReader() throws Exception {
        final AtomicBoolean ended = fixture.longResponse();
        try (Socket socket = fixture.connect()) {
            CallerServerFixture.send(socket, CallerServerFixture.request("/long", "Connection: close\r\n"));
            final StringBuilder read = CallerServerFixture.readUntil(ended, socket);
            Thread.sleep(2 * CallerServerFixture.IDLE_TIMEOUT.toMillis());
            CallerServerFixture.assertCompleteAfterRest(read, socket);
        }
    }

    // Guards against LOST: a late loop closed an idle connection although its next request waited in the socket.
    @Test
    void lateLoopAnswersARequestThatWaitsOnAnIdleConnection() throws Exception {
        fixture.responses.put("/short", Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END));
        fixture.responses.put("/late", Flowable.defer(() -> {
            Thread.sleep(2 * CallerServerFixture.IDLE_TIMEOUT.toMillis());
            return Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END);
        }));
        try (Socket idle = fixture.connect();
                Socket other = fixture.connect()) {
            CallerServerFixture.send(idle, CallerServerFixture.request("/short", ""));
            CallerServerFixture.assertAnswers(1, idle);
            Thread.sleep(CallerServerFixture.IDLE_TIMEOUT.toMillis() / 2);
            CallerServerFixture.send(other, CallerServerFixture.request("/late", ""));
            Thread.sleep(CallerServerFixture.IDLE_TIMEOUT.toMillis() / 4);
            CallerServerFixture.send(idle, CallerServerFixture.request("/short", ""));
            CallerServerFixture.assertAnswers(1, idle);
        }
    }

    // Guards against LOST: a late loop took a body that waited in the socket for one that did not arrive in time.
    @Test
    void lateLoopAcceptsABodyThatWaitsInTheSocket() throws Exception {
        fixture.responses.put("/short", Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END));
        fixture.responses.put("/late", Flowable.defer(() -> {
            Thread.sleep(2 * CallerServerFixture.SEND_TIMEOUT.toMillis());
            return Flowable.just(CallerServerFixture.HEAD, CallerServerFixture.END);
        }));
        final String request = CallerServerFixture.request("/short", "");
        try (Socket sender = fixture.connect();
                Socket other = fixture.connect()) {
            CallerServerFixture.send(sender, request.substring(0, request.length() - 1));
            Thread.sleep(CallerServerFixture.SEND_TIMEOUT.toMillis() / 4);
            CallerServerFixture.send(other, CallerServerFixture.request("/late", ""));
            Thread.sleep(CallerServerFixture.SEND_TIMEOUT.toMillis() / 4);
            CallerServerFixture.send(sender, request.substring(request.length() - 1));
            assertTrue(CallerServerFixture.assertAnswers(1, sender).startsWith("HTTP/1.1 200"));
        }
    }

    // Guards against LOST: the idle time-out closed a connection while its second, pipelined request ran.
    @Test
    void idleTimeoutDoesNotCutAPipelinedRequest() throws Exception {
        fixture.responses.put("/short", fixture.delayed(CallerServerFixture.IDLE_TIMEOUT.dividedBy(2)));
        fixture.responses.put("/slow", fixture.delayed(CallerServerFixture.IDLE_TIMEOUT.multipliedBy(2)));
        try (Socket socket = fixture.connect()) {
            CallerServerFixture.send(
                    socket,
                    CallerServerFixture.request("/short", "")
                            + CallerServerFixture.request("/slow", "")
                            + CallerServerFixture.request("/short", ""));
            CallerServerFixture.assertAnswers(3, socket);
        }
    }
}
