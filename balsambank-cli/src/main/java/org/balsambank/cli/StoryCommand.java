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
 * Prints what the logs of VMs say of one request: its own lines, and what happened meanwhile to the targets it met.
 *
 * <p>Confined to one thread.
 */
@Command(name = "story", description = "Reads logs of VMs on standard input and prints the story of one request.")
public final class StoryCommand extends AbstractCommand {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long BEFORE_MILLIS = 2_000;
    private static final Set<String> PRINTED_FIRST = Set.of("time_ms", "event", "request");

    @Required
    @Arguments(title = "REQUEST", description = "The id of the request.")
    private String request;

    private InputStream in = System.in;

    /**
     * Replaces standard input.
     *
     * @param input the logs
     */
    void readFrom(final InputStream input) {
        in = input;
    }

    @Override
    protected ExitCode execute() throws CommandException {
        final List<LogLine> all = read();
        final List<LogLine> own = all.stream()
                .filter(line -> line.text("request").equals(request))
                .toList();
        if (own.isEmpty()) {
            throw new CommandException(ExitCode.FAILED, "no line about request " + request);
        }
        final List<LogLine> story = story(all, own);
        if (json()) {
            final ArrayNode list = JSON.createArrayNode();
            story.forEach(line -> list.add(line.fields));
            print(list.toString());
            return ExitCode.OK;
        }
        final long start = own.get(0).millis();
        story.forEach(line -> print(line.describe(start)));
        return ExitCode.OK;
    }

    private List<LogLine> story(final List<LogLine> all, final List<LogLine> own) {
        final Set<String> targets = new HashSet<>();
        own.forEach(line -> targets.add(line.text("target")));
        targets.remove("");
        final long from = own.get(0).millis() - BEFORE_MILLIS;
        final long to = own.get(own.size() - 1).millis();
        return all.stream()
                .filter(line -> line.text("request").equals(request)
                        || line.text("request").isEmpty()
                                && targets.contains(line.text("target"))
                                && line.millis() >= from
                                && line.millis() <= to)
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
            throw new CommandException(ExitCode.FAILED, "can't read the logs: " + e.getMessage());
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
            // A line that is no decision, as other programs write them.
            return;
        }
    }

    /**
     * One line of a log.
     *
     * @param prefix what stands before the object, as the name of the VM
     * @param fields the fields
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
                if (!PRINTED_FIRST.contains(each.getKey()) && !value.isEmpty()) {
                    text.append(' ').append(each.getKey()).append('=').append(value);
                }
            }
            return prefix.isEmpty()
                    ? text.toString()
                    : text.append("  [").append(prefix).append(']').toString();
        }
    }
}
