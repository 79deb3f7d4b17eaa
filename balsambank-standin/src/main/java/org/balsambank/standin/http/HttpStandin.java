package org.balsambank.standin.http;

import java.util.Objects;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * Base class of a stand-in with one HTTP server on loopback.
 *
 * <p>Confined to one event loop, which runs the routes, the timers and the model of the stand-in.
 */
public abstract class HttpStandin extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long MAX_BODY_BYTES = 8L << 20;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int BAD_REQUEST = 400;

    private final int port;
    private final FaultInjector faultInjector = new FaultInjector();

    private TimerService timerService;
    private volatile int boundPort;

    /**
     * Creates a stand-in that is not started.
     *
     * @param port the TCP port on loopback, 0 for any
     */
    protected HttpStandin(final int port) {
        this.port = port;
    }

    @Override
    public final Future<?> start() {
        timerService = timerOf(context);
        prepare();
        final Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/control").handler(this::control);
        router.get("/control/stats").handler(call -> Answers.send(call, Answers.OK, stats()));
        addControlRoutes(router);
        router.route().handler(faultInjector);
        addRoutes(router);
        final HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES);
        return vertx.createHttpServer(options)
                .requestHandler(router)
                .listen(port, LOOPBACK)
                .onSuccess(server -> boundPort = server.actualPort());
    }

    /**
     * Returns the port that the server listens on. Valid once the server is started.
     *
     * @return the TCP port
     */
    public final int boundPort() {
        return boundPort;
    }

    /**
     * Returns a timer service that runs on an event loop.
     *
     * @param context the context of the event loop
     * @return the timer service
     */
    public static TimerService timerOf(final Context context) {
        Objects.requireNonNull(context);
        return new SchedulerTimerService(
                Schedulers.from(task -> context.runOnContext(ignored -> task.run())), System::nanoTime);
    }

    /** Creates the model. Called before the routes are added, when {@link #timer()} is available. */
    protected void prepare() {}

    /**
     * Adds the routes of the protocol, which are subject to fault injection.
     *
     * @param router the router
     */
    protected abstract void addRoutes(Router router);

    /**
     * Adds further control routes, which bypass fault injection.
     *
     * @param router the router
     */
    protected void addControlRoutes(final Router router) {}

    /**
     * Applies the fields of a control request other than those of the fault injector.
     *
     * @param order the body of the control request
     */
    protected abstract void order(JsonObject order);

    /**
     * Returns the counters.
     *
     * @return the counters by name
     */
    protected abstract JsonObject stats();

    /**
     * Returns the timer service of the event loop.
     *
     * @return the timer service
     */
    protected final TimerService timer() {
        return timerService;
    }

    /**
     * Returns the fault injector of the protocol routes.
     *
     * @return the fault injector
     */
    protected final FaultInjector faultInjector() {
        return faultInjector;
    }

    /**
     * Parses the body of a request as a JSON object.
     *
     * @param call the request
     * @return the object, empty if the request has no body
     * @throws DecodeException if the body is not a JSON object
     */
    protected static JsonObject bodyOf(final RoutingContext call) {
        final JsonObject body = call.body().asJsonObject();
        return body == null ? new JsonObject() : body;
    }

    /**
     * Returns whether a request carries an API key, which must never reach a target.
     *
     * @param call the request
     * @return true if a header carries a key
     */
    protected static boolean carriesKey(final RoutingContext call) {
        return call.request().getHeader("Authorization") != null
                || call.request().getHeader("X-Api-Key") != null;
    }

    private void control(final RoutingContext call) {
        try {
            final JsonObject body = bodyOf(call);
            faultInjector.apply(body);
            order(body);
            Answers.ok(call);
        } catch (final DecodeException | ClassCastException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }
}
