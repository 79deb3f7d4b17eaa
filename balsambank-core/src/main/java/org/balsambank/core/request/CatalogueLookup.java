package org.balsambank.core.request;

import java.util.Comparator;
import java.util.Optional;

import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.id.AdapterId;

/**
 * Finds the entries of the catalogue that a request is about.
 *
 * <p>Stateless and thread-safe.
 */
final class CatalogueLookup {
    private static final char VERSION_SEPARATOR = '@';

    private CatalogueLookup() {}

    /**
     * Finds the adapter of a call.
     *
     * @param catalogue the configuration in force
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
     * Finds what the catalogue says of a call of a plain service.
     *
     * @param service the service
     * @param method the HTTP method
     * @param path the path below the service
     * @return the route with the longest matching prefix, if one matches
     */
    static Optional<ServiceRoute> route(final PlainService service, final String method, final String path) {
        return service.routes().stream()
                .filter(route -> route.method().equalsIgnoreCase(method) && path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }
}
