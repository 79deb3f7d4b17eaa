package org.balsambank.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.github.rvesse.airline.SingleCommand;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the timeline of a request with a recorded log. Confined to one thread. */
final class StoryCommandTest {
    private static final String LATE_REQUEST = "63480008b977b0f9";

    @Test
    void printsTimelineOfLateResponse() throws IOException, CommandException {
        Approvals.verify(timeline(recordedLog(), LATE_REQUEST));
    }

    @Test
    void printsJson() throws IOException, CommandException {
        assertTrue(timeline(recordedLog(), LATE_REQUEST, "--json").startsWith("[{\"time_ms\":"));
    }

    @Test
    void reportsUnknownRequest() {
        final CommandException error = assertThrows(CommandException.class, () -> timeline(recordedLog(), "unknown"));
        assertEquals("no log line for request unknown", error.getMessage());
        assertEquals(ExitCode.FAILED, error.exitCode());
    }

    @Test
    void skipsLinesThatAreNotDecisions() throws CommandException {
        final String log = "{broken\n[1]\n{\"time_ms\":5,\"event\":\"ended\",\"request\":\"a\"}\nplain text\n";
        final InputStream in = new ByteArrayInputStream(log.getBytes(StandardCharsets.UTF_8));
        assertEquals("     +0 ms  ended", timeline(in, "a").stripTrailing());
    }

    private static InputStream recordedLog() {
        return StoryCommandTest.class.getResourceAsStream("recorded.log");
    }

    private static String timeline(final InputStream log, final String... arguments) throws CommandException {
        final StoryCommand command =
                SingleCommand.singleCommand(StoryCommand.class).parse(arguments);
        command.setInput(log);
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        command.run(new PrintStream(out, true, StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }
}
