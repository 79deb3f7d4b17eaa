package org.balsambank.core.request;

import java.util.Comparator;
import java.util.Optional;

import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.id.AdapterId;

/**
 * Looks up the catalogue entries that a request refers to.
 *
 * <p>Stateless and thread-safe.
 */
final class CatalogueLookup {
    private static final char VERSION_SEPARATOR = '@';

    private CatalogueLookup() {}

    /**
     * Returns the adapter of a call.
     *
     * @param catalogue the current configuration
     * @param call the call, with or without a version
     * @return the adapter, if it is in the catalogue
     */
    static Optional<Adapter> adapter(final Catalogue catalogue, final RequestSubject.AdapterCall call) {
        final int at = call.model().lastIndexOf(VERSION_SEPARATOR);
        final String name = at < 0 ? call.model() : call.model().substring(0, at);
        return name.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(catalogue.adapters().get(new AdapterId(name)));
    }

    /**
     * Returns the route that applies to a call of a plain service.
     *
     * @param service the service
     * @param method the HTTP method, in any case
     * @param path the path below the service
     * @return the route with that method and the longest matching path prefix, if any
     */
    static Optional<ServiceRoute> route(final PlainService service, final String method, final String path) {
        return service.routes().stream()
                .filter(route -> route.method().equalsIgnoreCase(method) && path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }
}
