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
 * Authenticates callers by the keys in the catalogue and checks that their team may call the adapter or service. A call
 * of an open adapter or route needs no key and is attributed to its owner.
 *
 * <p>Invariants: each request is checked against the catalogue passed with it, not against an earlier one; whether an
 * adapter or service exists that is not open is disclosed only to callers with a valid key. Confined to the decision
 * loop.
 */
public final class KeyAuthenticator implements Authenticator {
    private Catalogue indexedCatalogue = Catalogue.EMPTY;
    private KeyIndex keys = KeyIndex.of(Catalogue.EMPTY);

    @Override
    public Caller authenticate(final CallerRequest request, final Catalogue catalogue) throws BalsambankException {
        if (request.subject() instanceof RequestSubject.AdapterCall call) {
            final Optional<Adapter> adapter = CatalogueLookup.adapter(catalogue, call);
            if (adapter.isPresent() && adapter.get().open()) {
                return new Caller(adapter.get().owner(), Optional.empty());
            }
            return authenticateByKey(request, catalogue, adapter.map(Adapter::callers));
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
        return authenticateByKey(request, catalogue, service.map(PlainService::callers));
    }

    private Caller authenticateByKey(
            final CallerRequest request, final Catalogue catalogue, final Optional<Set<TeamId>> allowedTeams)
            throws BalsambankException {
        if (request.key().isEmpty()) {
            throw new BalsambankException(ErrorKind.UNAUTHENTICATED, "the request has no key");
        }
        final KeyMatch match = keysOf(catalogue)
                .find(request.key().get())
                .orElseThrow(() ->
                        new BalsambankException(ErrorKind.UNAUTHENTICATED, "the key is unknown or was withdrawn"));
        if (allowedTeams.isPresent() && !allowedTeams.get().contains(match.team())) {
            throw new BalsambankException(ErrorKind.FORBIDDEN, "the team may not call this");
        }
        return new Caller(match.team(), Optional.of(match.key()));
    }

    private KeyIndex keysOf(final Catalogue catalogue) {
        if (indexedCatalogue != catalogue) {
            keys = KeyIndex.of(catalogue);
            indexedCatalogue = catalogue;
        }
        return keys;
    }
}
