package org.balsambank.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import net.openhft.hashing.LongTupleHashFunction;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TeamId;

/**
 * Authenticates a request against the current configuration and resolves the adapter version or service that it runs
 * on.
 *
 * <p>Confined to the decision loop.
 */
final class RequestPlanner {
    private static final char VERSION_SEPARATOR = '@';

    private final Authenticator authenticator;

    /**
     * Creates a planner.
     *
     * @param authenticator authenticates callers
     */
    RequestPlanner(final Authenticator authenticator) {
        this.authenticator = Objects.requireNonNull(authenticator);
    }

    /**
     * Plans a request.
     *
     * @param request the request of a caller
     * @param catalogue the current configuration
     * @return the plan
     * @throws BalsambankException of a kind which means that the request did not run, if the request is rejected
     */
    RequestPlan plan(final CallerRequest request, final Catalogue catalogue) throws BalsambankException {
        final Caller caller = authenticator.authenticate(request, catalogue);
        if (request.subject() instanceof RequestSubject.AdapterCall call) {
            return adapterPlan(request, call, caller, catalogue);
        }
        return servicePlan(request, (RequestSubject.ServiceCall) request.subject(), caller, catalogue);
    }

    private static RequestPlan adapterPlan(
            final CallerRequest request,
            final RequestSubject.AdapterCall call,
            final Caller caller,
            final Catalogue catalogue)
            throws BalsambankException {
        final Adapter adapter = adapterOf(call, catalogue);
        final AdapterRef version = versionOf(call, adapter);
        final CompletionBody body = CompletionBody.parse(request.body());
        final boolean repeatable = request.idempotencyKey().isEmpty();
        return new RequestPlan(
                caller,
                Optional.of(version),
                adapter.trafficClass(),
                rateUnit(catalogue, caller.team()),
                repeatable,
                repeatable && request.streaming() && body.deterministic(),
                call.model().equals(version.toString())
                        ? request.body()
                        : body.model(version).bytes(),
                fingerprint(call.model(), request),
                catalogue.revision());
    }

    private static RequestPlan servicePlan(
            final CallerRequest request,
            final RequestSubject.ServiceCall call,
            final Caller caller,
            final Catalogue catalogue)
            throws BalsambankException {
        final PlainService service = catalogue.services().get(call.service());
        if (service == null) {
            throw new BalsambankException(ErrorKind.UNKNOWN_SERVICE, "no service " + call.service());
        }
        return new RequestPlan(
                caller,
                Optional.empty(),
                service.trafficClass(),
                rateUnit(catalogue, caller.team()),
                request.idempotencyKey().isEmpty() && idempotent(service, request.httpMethod(), call.path()),
                false,
                request.body(),
                fingerprint(service.name().value(), request),
                catalogue.revision());
    }

    private static Adapter adapterOf(final RequestSubject.AdapterCall call, final Catalogue catalogue)
            throws BalsambankException {
        return CatalogueLookup.adapter(catalogue, call)
                .orElseThrow(() -> new BalsambankException(ErrorKind.UNKNOWN_ADAPTER, "no adapter " + call.model()));
    }

    private static AdapterRef versionOf(final RequestSubject.AdapterCall call, final Adapter adapter)
            throws BalsambankException {
        final int at = call.model().lastIndexOf(VERSION_SEPARATOR);
        if (at < 0) {
            return adapter.current();
        }
        final String version = call.model().substring(at + 1);
        if (version.isEmpty() || !adapter.versions().contains(new AdapterVersion(version))) {
            throw new BalsambankException(ErrorKind.UNKNOWN_ADAPTER, "no version " + call.model());
        }
        return new AdapterRef(adapter.id(), new AdapterVersion(version));
    }

    private static boolean idempotent(final PlainService service, final String method, final String path) {
        return CatalogueLookup.route(service, method, path)
                .map(ServiceRoute::idempotent)
                .orElse(false);
    }

    private static RateUnit rateUnit(final Catalogue catalogue, final TeamId id) {
        final Team team = catalogue.teams().get(id);
        return team == null ? RateUnit.REQUESTS : team.limit().unit();
    }

    private static Fingerprint fingerprint(final String subject, final CallerRequest request) {
        final String call = subject + '\n' + request.httpMethod() + '\n' + request.path() + '\n';
        final byte[] bytes = ByteString.copyFrom(call, StandardCharsets.UTF_8)
                .concat(request.body())
                .toByteArray();
        final long[] hash = LongTupleHashFunction.xx128().hashBytes(bytes);
        return new Fingerprint(String.format("%016x%016x", hash[0], hash[1]));
    }
}
