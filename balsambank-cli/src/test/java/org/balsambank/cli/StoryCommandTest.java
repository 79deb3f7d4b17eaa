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

/** Tests the story of a request on a recorded log. Confined to one thread. */
final class StoryCommandTest {
    private static final String LATE = "63480008b977b0f9";

    @Test
    void tellsTheStoryOfALateAnswer() throws IOException, CommandException {
        Approvals.verify(story(recorded(), LATE));
    }

    @Test
    void printsJson() throws IOException, CommandException {
        assertTrue(story(recorded(), LATE, "--json").startsWith("[{\"time_ms\":"));
    }

    @Test
    void saysThatARequestIsUnknown() {
        final CommandException error = assertThrows(CommandException.class, () -> story(recorded(), "unknown"));
        assertEquals("no line about request unknown", error.getMessage());
        assertEquals(ExitCode.FAILED, error.exitCode());
    }

    @Test
    void passesOverWhatIsNoDecision() throws CommandException {
        final String log = "{broken\n[1]\n{\"time_ms\":5,\"event\":\"ended\",\"request\":\"a\"}\nplain text\n";
        final InputStream in = new ByteArrayInputStream(log.getBytes(StandardCharsets.UTF_8));
        assertEquals("     +0 ms  ended", story(in, "a").stripTrailing());
    }

    private static InputStream recorded() {
        return StoryCommandTest.class.getResourceAsStream("recorded.log");
    }

    private static String story(final InputStream log, final String... arguments) throws CommandException {
        final StoryCommand command =
                SingleCommand.singleCommand(StoryCommand.class).parse(arguments);
        command.readFrom(log);
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        command.run(new PrintStream(out, true, StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }
}
