package org.balsambank.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests commands that need no server, and the errors of other commands without one. Confined to one thread. */
final class MainTest {
    private static final String INVALID_CATALOGUE = "src/test/resources/org/balsambank/cli/broken.json";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @ParameterizedTest
    @ValueSource(strings = {"quickstart", "ribera", "vysocina"})
    void samplesAreValid(final String sample) {
        assertEquals(ExitCode.OK, run("check", "../samples/" + sample + "/catalogue.json"));
    }

    @Test
    void listsAllViolationsOfACatalogue() {
        assertEquals(ExitCode.INVALID, run("check", INVALID_CATALOGUE));
        Approvals.verify(err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void applyChecksFileBeforeCallingServer() throws IOException {
        assertEquals(ExitCode.INVALID, run("apply", "--server", unusedUrl(), INVALID_CATALOGUE));
    }

    @Test
    void helpSucceeds() {
        assertEquals(ExitCode.OK, run("help"));
    }

    @Test
    void distinguishesInvalidCommandLinesFromServerFailures() throws IOException {
        assertEquals(ExitCode.INVALID, run("nonsense"));
        assertEquals(ExitCode.INVALID, run("check"));
        assertEquals(ExitCode.INVALID, run("check", "no-such-file.json"));
        assertEquals(ExitCode.INVALID, run("status", "--server", "nowhere"));
        assertEquals(ExitCode.FAILED, run("status", "--server", unusedUrl()));
        assertEquals(ExitCode.FAILED, run("vm", "out", "--server", unusedUrl(), "vm1"));
        assertEquals(ExitCode.OK, run("version", "--json"));
        assertEquals("{\"version\":\"development\"}\n", out.toString(StandardCharsets.UTF_8));
    }

    private ExitCode run(final String... arguments) {
        return Main.run(arguments, printStream(out), printStream(err));
    }

    private static PrintStream printStream(final ByteArrayOutputStream buffer) {
        buffer.reset();
        return new PrintStream(buffer, true, StandardCharsets.UTF_8);
    }

    private static String unusedUrl() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }
}
