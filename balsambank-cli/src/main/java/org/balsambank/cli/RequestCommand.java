package org.balsambank.cli;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;

/**
 * Sends one caller request and prints its response and the durations of its trace spans.
 *
 * <p>Confined to one thread.
 */
@Command(
        name = "request",
        description = "Sends one caller request and prints its response and the durations of its trace spans.")
public final class RequestCommand extends AbstractServerCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int FIRST_ERROR_STATUS = 400;

    @Required
    @Option(
            type = OptionType.COMMAND,
            name = {"--caller-url"},
            title = "URL",
            description = "URL of the callers' port of a VM.")
    private String callerUrl;

    @Option(
            type = OptionType.COMMAND,
            name = {"--key"},
            title = "KEY",
            description = "The key of the team.")
    private String key = "";

    @Option(
            type = OptionType.COMMAND,
            name = {"--model"},
            title = "ADAPTER",
            description = "ADAPTER or ADAPTER@VERSION of a completion.")
    private String model = "";

    @Option(
            type = OptionType.COMMAND,
            name = {"--prompt"},
            title = "TEXT",
            description = "The prompt of a completion, or the body of a service call.")
    private String prompt = "";

    @Option(
            type = OptionType.COMMAND,
            name = {"--stream"},
            description = "Requests a streaming response.")
    private boolean stream;

    @Option(
            type = OptionType.COMMAND,
            name = {"--max-tokens"},
            title = "N",
            description = "The maximum number of tokens of the response. Default: 16.")
    private int maxTokens = 16;

    @Option(
            type = OptionType.COMMAND,
            name = {"--service"},
            title = "PATH",
            description = "NAME/PATH of a plain service to call instead of a completion.")
    private String service = "";

    @Option(
            type = OptionType.COMMAND,
            name = {"--method"},
            title = "METHOD",
            description = "The HTTP method of a service call. Default: POST.")
    private String method = "POST";

    @Option(
            type = OptionType.COMMAND,
            name = {"--idempotency-key"},
            title = "KEY",
            description = "The idempotency key of a call that must run at most once.")
    private String idempotencyKey = "";

    @Override
    protected ExitCode execute(final BlockingHttpClient operators) throws CommandException {
        try (BlockingHttpClient callers = new BlockingHttpClient(callerUrl, key)) {
            final HttpResponse<Buffer> response = send(callers);
            final String traceId = header(response, "X-Trace-Id");
            final JsonNode spans = operators.call(HttpMethod.GET, "/traces/" + segment(traceId), "");
            printResult(response, traceId, spans.path("spans"));
            return response.statusCode() < FIRST_ERROR_STATUS ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private HttpResponse<Buffer> send(final BlockingHttpClient callers) throws CommandException {
        final Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        if (!idempotencyKey.isEmpty()) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        if (!service.isEmpty()) {
            return callers.send(HttpMethod.valueOf(method), "/services/" + service, prompt, headers);
        }
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model).put("prompt", prompt).put("max_tokens", maxTokens);
        body.put("stream", stream);
        return callers.send(HttpMethod.POST, "/v1/completions", body.toString(), headers);
    }

    private void printResult(final HttpResponse<Buffer> response, final String traceId, final JsonNode spans) {
        final String target = header(response, "X-Balsambank-Target");
        final String adapter = header(response, "X-Balsambank-Adapter");
        if (json()) {
            final ObjectNode result = MAPPER.createObjectNode();
            result.put("status", response.statusCode())
                    .put("target", target)
                    .put("adapter", adapter)
                    .put("traceId", traceId)
                    .put("body", BlockingHttpClient.bodyText(response))
                    .set("spans", spans);
            print(result.toString());
            return;
        }
        print("status " + response.statusCode() + ", target " + target + ", adapter " + adapter + ", trace " + traceId);
        print(BlockingHttpClient.bodyText(response).strip());
        spans.forEach(span -> print(String.format(
                "span %-12s %-16s %9.3f ms",
                span.path("name").asText(),
                span.path("vm").asText(),
                span.path("durationNanos").asLong() / NANOS_PER_MILLI)));
    }

    private static String header(final HttpResponse<Buffer> response, final String name) {
        final String value = response.getHeader(name);
        return value == null ? "-" : value;
    }
}
