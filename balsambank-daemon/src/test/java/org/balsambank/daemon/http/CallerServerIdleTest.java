package org.balsambank.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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
