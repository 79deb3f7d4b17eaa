package org.balsambank.core.request;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.error.BalsambankException;

/**
 * Authenticates and authorizes callers by their API key.
 *
 * <p>Confined to the decision loop.
 */
@FunctionalInterface
public interface Authenticator {
    /**
     * Returns the caller that the key of a request belongs to, after checking that it is allowed to call the subject.
     *
     * @param request the request, with its key and subject
     * @param catalogue the current configuration
     * @return the caller
     * @throws BalsambankException if the key is missing or unknown, or the caller is not allowed to call the subject
     */
    Caller authenticate(CallerRequest request, Catalogue catalogue) throws BalsambankException;
}
