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
 * The operators' calls that read and change the catalogue.
 *
 * <p>Invariant: a refused change changes nothing. Confined to the decision loop; files are parsed on a worker thread.
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
    private final Function<Revision, Single<RolloutStatus>> inForce;
    private final SecureRandom random = new SecureRandom();
    private final CatalogueEdits edits = new CatalogueEdits(random);

    /**
     * Creates the calls.
     *
     * @param vertx runs the parser
     * @param repository keeps the catalogue
     * @param inForce counts on how many VMs a revision is in force
     */
    public CatalogueRoutes(
            final Vertx vertx,
            final CatalogueRepository repository,
            final Function<Revision, Single<RolloutStatus>> inForce) {
        this.vertx = Objects.requireNonNull(vertx);
        this.repository = Objects.requireNonNull(repository);
        this.inForce = Objects.requireNonNull(inForce);
    }

    /**
     * Adds the calls to a server.
     *
     * @param router the routes of the operators' port
     */
    public void addTo(final Router router) {
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_FILE_BYTES));
        router.post("/catalogue").handler(this::apply);
        router.post("/catalogue/diff").handler(this::diff);
        router.get("/catalogue/in-force").handler(this::inForce);
        router.post("/keys/:team/:name").handler(this::giveKey);
        router.delete("/keys/:team/:name")
                .handler(context -> edit(
                        context,
                        catalogue -> edits.withdrawKey(
                                catalogue, new TeamId(context.pathParam("team")), context.pathParam("name"))));
        router.put("/out/:kind/:id").handler(context -> out(context, true));
        router.delete("/out/:kind/:id").handler(context -> out(context, false));
    }

    private void apply(final RoutingContext context) {
        final String expect = context.request().getParam("expect");
        parse(context)
                .flatMap(catalogue -> repository.apply(
                        catalogue,
                        Optional.ofNullable(expect).map(Long::valueOf).map(Revision::new)))
                .subscribe(
                        result -> answer(context, changes(result.revision(), result.changes())),
                        error -> fail(context, error));
    }

    private void diff(final RoutingContext context) {
        parse(context)
                .flatMap(catalogue -> repository
                        .diff(catalogue)
                        .zipWith(repository.read(), (changes, snapshot) -> changes(snapshot.revision(), changes)))
                .subscribe(body -> answer(context, body), error -> fail(context, error));
    }

    private void inForce(final RoutingContext context) {
        Single.fromCallable(() -> new Revision(Long.parseLong(context.request().getParam("revision"))))
                .flatMap(inForce::apply)
                .subscribe(count -> answer(context, describe(count)), error -> fail(context, error));
    }

    private void giveKey(final RoutingContext context) {
        final String key = KeyHasher.newKey(random);
        edit(
                context,
                catalogue ->
                        edits.giveKey(catalogue, new TeamId(context.pathParam("team")), context.pathParam("name"), key),
                body -> body.put("key", key));
    }

    private void out(final RoutingContext context, final boolean out) {
        final String id = context.pathParam("id");
        switch (context.pathParam("kind")) {
            case "vms" -> edit(context, catalogue -> edits.setVmOut(catalogue, new VmId(id), out));
            case "domains" -> edit(context, catalogue -> edits.setDomainOut(catalogue, new FailureDomain(id), out));
            case "targets" -> edit(context, catalogue -> edits.setTargetOut(catalogue, new TargetId(id), out));
            default -> fail(context, new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "only VMs, domains and targets"));
        }
    }

    private void edit(final RoutingContext context, final Edit edit) {
        edit(context, edit, body -> body);
    }

    private void edit(final RoutingContext context, final Edit edit, final Completion completion) {
        Single.defer(() -> attempt(edit))
                .retry((attempts, error) -> attempts < EDIT_ATTEMPTS && error instanceof ApplyConflictException)
                .subscribe(
                        result -> answer(context, completion.complete(changes(result.revision(), result.changes()))),
                        error -> fail(context, error));
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

    private static ObjectNode changes(final Revision revision, final List<EntryChange> changes) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("revision", revision.value());
        final ArrayNode list = body.putArray("changes");
        changes.forEach(change -> list.add(change.toString()));
        return body;
    }

    private static ObjectNode describe(final RolloutStatus count) {
        return MAPPER.createObjectNode()
                .put("inForce", count.count())
                .put("vms", count.total())
                .put("complete", count.complete());
    }

    private static void answer(final RoutingContext context, final ObjectNode body) {
        context.response().putHeader("Content-Type", JSON).end(body.toString());
    }

    private static void fail(final RoutingContext context, final Throwable error) {
        if (error instanceof BalsambankException known) {
            ResponseWriter.refuse(context.response(), known);
            return;
        }
        final ObjectNode body = MAPPER.createObjectNode();
        if (error instanceof ApplyConflictException conflict) {
            body.setAll(changes(conflict.current(), conflict.changes()));
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

    /** Changes a catalogue. */
    @FunctionalInterface
    private interface Edit {
        Catalogue apply(Catalogue before) throws BalsambankException;
    }

    /** Adds to the answer of a change. */
    @FunctionalInterface
    private interface Completion {
        ObjectNode complete(ObjectNode body);
    }
}
