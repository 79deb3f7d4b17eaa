package org.balsambank.core.request;

import java.util.Optional;
import java.util.Set;

import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.catalogue.key.KeyIndex;
import org.balsambank.core.catalogue.key.KeyMatch;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TeamId;

/**
 * Checks keys against the configuration in force.
 *
 * <p>Invariants: each request is checked against the catalogue that it is given, not against an earlier one; an unknown
 * adapter or service is told only to callers with a key that works. Confined to the decision loop.
 */
public final class KeyAuthenticator implements Authenticator {
    private Catalogue indexed = Catalogue.EMPTY;
    private KeyIndex keys = KeyIndex.of(Catalogue.EMPTY);

    @Override
    public Caller authenticate(final CallerRequest request, final Catalogue catalogue) throws BalsambankException {
        if (request.subject() instanceof RequestSubject.AdapterCall call) {
            final Optional<Adapter> adapter = CatalogueLookup.adapter(catalogue, call);
            if (adapter.isPresent() && adapter.get().open()) {
                return new Caller(adapter.get().owner(), Optional.empty());
            }
            return keyed(request, catalogue, adapter.map(Adapter::callers));
        }
        final RequestSubject.ServiceCall call = (RequestSubject.ServiceCall) request.subject();
        final Optional<PlainService> service =
                Optional.ofNullable(catalogue.services().get(call.service()));
        final boolean open = service.flatMap(found -> CatalogueLookup.route(found, request.httpMethod(), call.path()))
                .map(ServiceRoute::open)
                .orElse(false);
        if (open) {
            return new Caller(service.get().owner(), Optional.empty());
        }
        return keyed(request, catalogue, service.map(PlainService::callers));
    }

    private Caller keyed(final CallerRequest request, final Catalogue catalogue, final Optional<Set<TeamId>> callers)
            throws BalsambankException {
        if (request.key().isEmpty()) {
            throw new BalsambankException(ErrorKind.UNAUTHENTICATED, "the request has no key");
        }
        final KeyMatch match = keysOf(catalogue)
                .find(request.key().get())
                .orElseThrow(() ->
                        new BalsambankException(ErrorKind.UNAUTHENTICATED, "the key is unknown or was withdrawn"));
        if (callers.isPresent() && !callers.get().contains(match.team())) {
            throw new BalsambankException(ErrorKind.FORBIDDEN, "the team may not call this");
        }
        return new Caller(match.team(), Optional.of(match.key()));
    }

    private KeyIndex keysOf(final Catalogue catalogue) {
        if (indexed != catalogue) {
            keys = KeyIndex.of(catalogue);
            indexed = catalogue;
        }
        return keys;
    }
}
