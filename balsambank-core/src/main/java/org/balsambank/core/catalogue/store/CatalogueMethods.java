package org.balsambank.core.catalogue.store;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.catalogue.CatalogueExchange;
import org.balsambank.protocol.generated.catalogue.CatalogueFetch;
import org.balsambank.protocol.generated.catalogue.CataloguePart;

/**
 * The RPC methods that distribute the catalogue between VMs.
 *
 * <p>Stateless and thread-safe.
 */
public final class CatalogueMethods {
    /** Exchanges the revisions in force with another VM. */
    public static final PeerMethod<CatalogueExchange, CatalogueExchange> EXCHANGE =
            new PeerMethod<>(20, "catalogue-exchange", CatalogueExchange.parser(), CatalogueExchange.parser());

    /** Fetches the catalogue of another VM. */
    public static final PeerMethod<CatalogueFetch, CataloguePart> FETCH =
            new PeerMethod<>(21, "catalogue-fetch", CatalogueFetch.parser(), CataloguePart.parser());

    private CatalogueMethods() {}
}
