package org.balsambank.core.catalogue.store;

/**
 * Thrown when a stored or received catalogue is corrupt or incomplete.
 *
 * <p>Immutable and thread-safe.
 */
public final class CorruptCatalogueException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong
     */
    public CorruptCatalogueException(final String message) {
        super(message);
    }
}
