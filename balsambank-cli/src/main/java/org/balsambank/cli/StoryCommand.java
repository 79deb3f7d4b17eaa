package org.balsambank.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Prints the timeline of one request from the decision logs of VMs: the log lines of the request itself, and the lines
 * about its targets from two seconds before its first line to its last line.
 *
 * <p>Confined to one thread.
 */
@Command(
        name = "story",
        description = "Reads the logs of VMs from standard input and prints the timeline of one request.")
public final class StoryCommand extends AbstractCommand {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LEAD_MILLIS = 2_000;
    private static final Set<String> HEADER_FIELDS = Set.of("time_ms", "event", "request");

    @Required
    @Arguments(title = "REQUEST", description = "The id of the request.")
    private String request;

    private InputStream in = System.in;

    /**
     * Sets the input that replaces standard input.
     *
     * @param input the logs
     */
    void setInput(final InputStream input) {
        in = input;
    }

    @Override
    protected ExitCode execute() throws CommandException {
        final List<LogLine> allLines = read();
        final List<LogLine> requestLines = allLines.stream()
                .filter(line -> line.text("request").equals(request))
                .toList();
        if (requestLines.isEmpty()) {
            throw new CommandException(ExitCode.FAILED, "no log line for request " + request);
        }
        final List<LogLine> timeline = timeline(allLines, requestLines);
        if (json()) {
            final ArrayNode list = JSON.createArrayNode();
            timeline.forEach(line -> list.add(line.fields));
            print(list.toString());
            return ExitCode.OK;
        }
        final long startMillis = requestLines.get(0).millis();
        timeline.forEach(line -> print(line.describe(startMillis)));
        return ExitCode.OK;
    }

    private List<LogLine> timeline(final List<LogLine> allLines, final List<LogLine> requestLines) {
        final Set<String> targets = new HashSet<>();
        requestLines.forEach(line -> targets.add(line.text("target")));
        targets.remove("");
        final long fromMillis = requestLines.get(0).millis() - LEAD_MILLIS;
        final long toMillis = requestLines.get(requestLines.size() - 1).millis();
        return allLines.stream()
                .filter(line -> line.text("request").equals(request)
                        || line.text("request").isEmpty()
                                && targets.contains(line.text("target"))
                                && line.millis() >= fromMillis
                                && line.millis() <= toMillis)
                .toList();
    }

    private List<LogLine> read() throws CommandException {
        final List<LogLine> lines = new ArrayList<>();
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                final int brace = line.indexOf('{');
                if (brace >= 0) {
                    parse(line.substring(0, brace).trim(), line.substring(brace), lines);
                }
            }
        } catch (final IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot read the logs: " + e.getMessage());
        }
        lines.sort(Comparator.comparingLong(LogLine::millis));
        return lines;
    }

    private static void parse(final String prefix, final String text, final List<LogLine> lines) {
        try {
            final JsonNode fields = JSON.readTree(text);
            if (fields.hasNonNull("time_ms")) {
                lines.add(new LogLine(prefix, fields));
            }
        } catch (final JsonProcessingException e) {
            // Not a line of the decision log: other programs may write to the same log.
            return;
        }
    }

    /**
     * A line of a decision log.
     *
     * @param prefix the text before the JSON object, such as the name of the VM
     * @param fields the fields of the JSON object
     */
    private record LogLine(String prefix, JsonNode fields) {
        long millis() {
            return fields.path("time_ms").asLong();
        }

        String text(final String field) {
            return fields.path(field).asText("");
        }

        String describe(final long startMillis) {
            final StringBuilder text = new StringBuilder();
            text.append(String.format("%+7d ms  %s", millis() - startMillis, text("event")));
            for (final Map.Entry<String, JsonNode> each : fields.properties()) {
                final String value = each.getValue().asText();
                if (!HEADER_FIELDS.contains(each.getKey()) && !value.isEmpty()) {
                    text.append(' ').append(each.getKey()).append('=').append(value);
                }
            }
            return prefix.isEmpty()
                    ? text.toString()
                    : text.append("  [").append(prefix).append(']').toString();
        }
    }
}
