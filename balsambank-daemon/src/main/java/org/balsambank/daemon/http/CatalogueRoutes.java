package org.balsambank.daemon.http;

import java.security.SecureRandom;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueEdits;
import org.balsambank.core.catalogue.CatalogueParser;
import org.balsambank.core.catalogue.InvalidCatalogueException;
import org.balsambank.core.catalogue.key.KeyHasher;
import org.balsambank.core.catalogue.store.ApplyConflictException;
import org.balsambank.core.catalogue.store.ApplyResult;
import org.balsambank.core.catalogue.store.CatalogueRepository;
import org.balsambank.core.catalogue.store.EntryChange;
import org.balsambank.core.catalogue.store.RolloutStatus;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;

/**
 * The operator routes that read and change the catalogue.
 *
 * <p>Invariant: a refused change has no effect. Confined to the decision loop; files are parsed on a worker thread.
 */
public final class CatalogueRoutes {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final Revision UNAPPLIED = new Revision(0);
    private static final long MAX_FILE_BYTES = 64L << 20;
    private static final int EDIT_ATTEMPTS = 5;
    private static final int INVALID = 400;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final CatalogueRepository repository;
    private final Function<Revision, Single<RolloutStatus>> rolloutStatus;
    private final SecureRandom random = new SecureRandom();
    private final CatalogueEdits edits = new CatalogueEdits(random);

    /**
     * Creates the routes.
     *
     * @param vertx the worker threads, for parsing
     * @param repository the stored catalogue
     * @param rolloutStatus counts the VMs on which a revision is in force
     */
    public CatalogueRoutes(
            final Vertx vertx,
            final CatalogueRepository repository,
            final Function<Revision, Single<RolloutStatus>> rolloutStatus) {
        this.vertx = Objects.requireNonNull(vertx);
        this.repository = Objects.requireNonNull(repository);
        this.rolloutStatus = Objects.requireNonNull(rolloutStatus);
    }

    /**
     * Adds the routes to the router of a server.
     *
     * @param router the router of the HTTP server for operators
     */
    public void addTo(final Router router) {
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_FILE_BYTES));
        router.post("/catalogue").handler(this::apply);
        router.post("/catalogue/diff").handler(this::diff);
        router.get("/catalogue/in-force").handler(this::rolloutStatus);
        router.post("/keys/:team/:name").handler(this::giveKey);
        router.delete("/keys/:team/:name")
                .handler(context -> edit(
                        context,
                        catalogue -> edits.withdrawKey(
                                catalogue, new TeamId(context.pathParam("team")), context.pathParam("name"))));
        router.put("/out/:kind/:id").handler(context -> setOut(context, true));
        router.delete("/out/:kind/:id").handler(context -> setOut(context, false));
    }

    private void apply(final RoutingContext context) {
        final String expect = context.request().getParam("expect");
        parse(context)
                .flatMap(catalogue -> repository.apply(
                        catalogue,
                        Optional.ofNullable(expect).map(Long::valueOf).map(Revision::new)))
                .subscribe(
                        result -> respond(context, toJson(result.revision(), result.changes())),
                        error -> respondError(context, error));
    }

    private void diff(final RoutingContext context) {
        parse(context)
                .flatMap(catalogue -> repository
                        .diff(catalogue)
                        .zipWith(repository.read(), (changes, snapshot) -> toJson(snapshot.revision(), changes)))
                .subscribe(body -> respond(context, body), error -> respondError(context, error));
    }

    private void rolloutStatus(final RoutingContext context) {
        Single.fromCallable(() -> new Revision(Long.parseLong(context.request().getParam("revision"))))
                .flatMap(rolloutStatus::apply)
                .subscribe(status -> respond(context, toJson(status)), error -> respondError(context, error));
    }

    private void giveKey(final RoutingContext context) {
        final String key = KeyHasher.newKey(random);
        edit(
                context,
                catalogue ->
                        edits.giveKey(catalogue, new TeamId(context.pathParam("team")), context.pathParam("name"), key),
                body -> body.put("key", key));
    }

    private void setOut(final RoutingContext context, final boolean out) {
        final String id = context.pathParam("id");
        switch (context.pathParam("kind")) {
            case "vms" -> edit(context, catalogue -> edits.setVmOut(catalogue, new VmId(id), out));
            case "domains" -> edit(context, catalogue -> edits.setDomainOut(catalogue, new FailureDomain(id), out));
            case "targets" -> edit(context, catalogue -> edits.setTargetOut(catalogue, new TargetId(id), out));
            default ->
                respondError(
                        context, new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "only VMs, domains and targets"));
        }
    }

    private void edit(final RoutingContext context, final Edit edit) {
        edit(context, edit, body -> body);
    }

    private void edit(final RoutingContext context, final Edit edit, final ResponseExtension extension) {
        Single.defer(() -> attempt(edit))
                .retry((attempts, error) -> attempts < EDIT_ATTEMPTS && error instanceof ApplyConflictException)
                .subscribe(
                        result -> respond(context, extension.extend(toJson(result.revision(), result.changes()))),
                        error -> respondError(context, error));
    }

    private Single<ApplyResult> attempt(final Edit edit) {
        return repository
                .read()
                .flatMap(before -> repository.apply(edit.apply(before.catalogue()), Optional.of(before.revision())));
    }

    private Single<Catalogue> parse(final RoutingContext context) {
        final String text = Optional.ofNullable(context.body().asString()).orElse("");
        return Single.create(emitter -> vertx.executeBlocking(() -> CatalogueParser.parse("catalogue", text, UNAPPLIED))
                .onSuccess(emitter::onSuccess)
                .onFailure(emitter::tryOnError));
    }

    private static ObjectNode toJson(final Revision revision, final List<EntryChange> changes) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("revision", revision.value());
        final ArrayNode list = body.putArray("changes");
        changes.forEach(change -> list.add(change.toString()));
        return body;
    }

    private static ObjectNode toJson(final RolloutStatus status) {
        return MAPPER.createObjectNode()
                .put("inForce", status.count())
                .put("vms", status.total())
                .put("complete", status.complete());
    }

    private static void respond(final RoutingContext context, final ObjectNode body) {
        context.response().putHeader("Content-Type", JSON).end(body.toString());
    }

    private static void respondError(final RoutingContext context, final Throwable error) {
        if (error instanceof BalsambankException known) {
            ResponseWriter.writeError(context.response(), known);
            return;
        }
        final ObjectNode body = MAPPER.createObjectNode();
        if (error instanceof ApplyConflictException conflict) {
            body.setAll(toJson(conflict.current(), conflict.changes()));
        }
        body.put("error", String.valueOf(error.getMessage()));
        context.response()
                .setStatusCode(status(error))
                .putHeader("Content-Type", JSON)
                .end(body.toString());
    }

    private static int status(final Throwable error) {
        if (error instanceof InvalidCatalogueException || error instanceof IllegalArgumentException) {
            return INVALID;
        }
        if (error instanceof ApplyConflictException) {
            return CONFLICT;
        }
        LOGGER.atWarning().atMostEvery(1, java.util.concurrent.TimeUnit.SECONDS).withCause(error).log(
                "event=catalogue_call_failed");
        return UNAVAILABLE;
    }

    /** A change of a catalogue. */
    @FunctionalInterface
    private interface Edit {
        Catalogue apply(Catalogue before) throws BalsambankException;
    }

    /** Adds fields to the response to a change. */
    @FunctionalInterface
    private interface ResponseExtension {
        ObjectNode extend(ObjectNode body);
    }
}
