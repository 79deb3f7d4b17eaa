package org.balsambank.core.catalogue;

import io.reactivex.rxjava3.core.Flowable;

/**
 * Provides the catalogue that is in force on this VM.
 *
 * <p>Invariant: the revision never decreases. {@link #current()} is thread-safe; changes arrive on the decision loop.
 */
public interface CatalogueSource {
    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue
     */
    Catalogue current();

    /**
     * Emits the catalogue in force and then each later one.
     *
     * @return the catalogues
     */
    Flowable<Catalogue> changes();
}
