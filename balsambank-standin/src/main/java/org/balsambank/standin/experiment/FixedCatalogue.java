package org.balsambank.standin.experiment;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;

/**
 * A catalogue source whose catalogue never changes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param current the catalogue
 */
record FixedCatalogue(Catalogue current) implements CatalogueSource {
    @Override
    public Flowable<Catalogue> changes() {
        return Flowable.just(current);
    }
}
