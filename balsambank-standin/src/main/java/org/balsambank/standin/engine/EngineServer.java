package org.balsambank.standin.engine;

import java.util.Objects;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.balsambank.standin.http.Answers;
import org.balsambank.standin.http.HttpStandin;

/**
 * A stand-in for a model engine with dynamic adapters and injectable faults.
 *
 * <p>Confined to its event loop. The weight store is shared with the other engines of the process.
 */
public final class EngineServer extends HttpStandin {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final int BAD_REQUEST = 400;
    private static final int DEFAULT_MAX_TOKENS = 16;

    private final EngineSettings settings;
    private final WeightStore weights;

    private EngineModel model;
    private EngineNotices notices;
    private EngineReport delayedReport;

    /**
     * Creates a server that is not started.
     *
     * @param port the TCP port on loopback, 0 for any free port
     * @param settings the capacity and the timing of the engine
     * @param weights the store that adapters are loaded from
     */
    public EngineServer(final int port, final EngineSettings settings, final WeightStore weights) {
        super(port);
        this.settings = Objects.requireNonNull(settings);
        this.weights = Objects.requireNonNull(weights);
    }

    @Override
    protected void prepare() {
        model = new EngineModel(settings, timer(), weights);
        notices = new EngineNotices(model.stats());
        delayedReport = model.report();
        if (!settings.reportLag().isZero()) {
            timer().every(settings.reportLag()).subscribe(ignored -> delayedReport = model.report());
        }
    }

    @Override
    protected void addRoutes(final Router router) {
        router.post("/v1/completions").handler(call -> generate(call, false));
        router.post("/v1/chat/completions").handler(call -> generate(call, true));
        router.post("/v1/load_lora_adapter").handler(this::load);
        router.post("/v1/unload_lora_adapter").handler(this::unload);
        router.get("/load").handler(this::report);
    }

    @Override
    protected void order(final JsonObject order) {
        model.faults().apply(order, timer().nanoTime());
        notices.apply(order, timer().nanoTime());
        if (order.getBoolean("restartEmpty", false)) {
            model.restart();
        }
        if (order.containsKey("cold")) {
            if (order.getBoolean("cold")) {
                model.warmUp().reset();
            } else {
                model.warmUp().complete();
            }
        }
        if (order.containsKey("slowLoads")) {
            weights.slowDown(order.getDouble("slowLoads"));
        }
    }

    @Override
    protected JsonObject stats() {
        return model.stats()
                .toJson()
                .mergeIn(model.report().toJson())
                .put("warm", model.warmUp().isWarm())
                .put("prefixHits", model.prefixes().hits())
                .put("prefixMisses", model.prefixes().misses())
                .put("storeLoads", weights.loads())
                .put("storeMostInFlight", weights.maxInFlight());
    }

    private void report(final RoutingContext call) {
        final EngineReport report = settings.reportLag().isZero() ? model.report() : delayedReport;
        Answers.send(call, Answers.OK, report.toJson());
    }

    private void generate(final RoutingContext call, final boolean chat) {
        countIdempotencyKey(call);
        final String id = headerOf(call, REQUEST_ID, "");
        if (!id.isEmpty()) {
            call.response().putHeader(REQUEST_ID, id);
        }
        final long now = timer().nanoTime();
        notices.requestArrived(now);
        notices.addTo(call.response(), now);
        if (notices.pausing(now)) {
            Answers.error(call, Admission.BUSY.status(), "the engine pauses");
            return;
        }
        try {
            final JsonObject body = bodyOf(call);
            final GenerationRequest generation = generationOf(call, body, chat);
            final HttpAnswerSink sink =
                    new HttpAnswerSink(call.response(), generation, chat, body.getBoolean("stream", false));
            final Admission admission = model.submit(generation, sink);
            if (admission == Admission.ACCEPTED) {
                call.response().closeHandler(ignored -> model.cancel(sink));
                return;
            }
            Answers.error(call, admission.status(), admission + " " + generation.adapter());
        } catch (final DecodeException | ClassCastException | NumberFormatException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }

    private static GenerationRequest generationOf(
            final RoutingContext call, final JsonObject body, final boolean chat) {
        final String prompt = chat ? chatPrompt(body) : body.getString("prompt", "");
        final int maxTokens = Math.max(1, body.getInteger("max_tokens", DEFAULT_MAX_TOKENS));
        return new GenerationRequest(
                headerOf(call, REQUEST_ID, ""),
                body.getString("model", ""),
                prompt,
                maxTokens,
                body.getInteger("resume_from", 0),
                Integer.parseInt(headerOf(call, "X-Priority", "0")),
                fencingOf(call));
    }

    private static String chatPrompt(final JsonObject body) {
        final StringBuilder prompt = new StringBuilder();
        final JsonArray messages = body.getJsonArray("messages", new JsonArray());
        for (int i = 0; i < messages.size(); i++) {
            prompt.append(messages.getJsonObject(i).getString("content", "")).append('\n');
        }
        return prompt.toString();
    }

    private static String headerOf(final RoutingContext call, final String name, final String absent) {
        final String value = call.request().getHeader(name);
        return value == null ? absent : value;
    }

    private static long fencingOf(final RoutingContext call) {
        return Long.parseLong(headerOf(call, "X-Fencing-Number", "0"));
    }

    private void load(final RoutingContext call) {
        countIdempotencyKey(call);
        try {
            final String adapter = bodyOf(call).getString("lora_name", "");
            model.load(adapter, fencingOf(call)).subscribe(admission -> sendAdmission(call, admission, adapter));
        } catch (final DecodeException | ClassCastException | NumberFormatException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }

    private void unload(final RoutingContext call) {
        countIdempotencyKey(call);
        try {
            final String adapter = bodyOf(call).getString("lora_name", "");
            sendAdmission(call, model.unload(adapter, fencingOf(call)), adapter);
        } catch (final DecodeException | ClassCastException | NumberFormatException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }

    private static void sendAdmission(final RoutingContext call, final Admission admission, final String adapter) {
        if (admission == Admission.ACCEPTED) {
            Answers.ok(call);
        } else {
            Answers.error(call, admission.status(), admission + " " + adapter);
        }
    }

    private void countIdempotencyKey(final RoutingContext call) {
        if (carriesKey(call)) {
            model.stats().keysSeen++;
        }
    }
}
