package org.balsambank.core.target;

/**
 * Exclusive permission to run a suspect request, held until it is known whether the request crashed the target.
 *
 * <p>Confined to the decision loop.
 */
public interface CrashTrial {
    /** Ends the trial. A crash is recorded before this call. Later calls have no effect. */
    void end();
}
