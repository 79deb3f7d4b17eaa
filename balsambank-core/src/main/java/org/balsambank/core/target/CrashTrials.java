package org.balsambank.core.target;

import java.util.Set;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;

/**
 * Ensures that a request that has crashed a target runs at most once at a time across the fleet.
 *
 * <p>Confined to the decision loop.
 */
public interface CrashTrials {
    /**
     * Requests a trial of a suspect request.
     *
     * @param fingerprint the suspect request
     * @param crashes the crashes during that request that this VM knows of
     * @return the trial; fails with a {@code BalsambankException} whose kind means that the request did not run
     */
    Single<CrashTrial> begin(Fingerprint fingerprint, Set<CrashId> crashes);

    /**
     * Announces a crash to the other VMs, or retracts one.
     *
     * @param crash the crash to announce or retract
     * @param fingerprints the requests that ran during the crash; empty if the target was only unreachable, which
     *     retracts the crash
     */
    void announce(CrashId crash, Set<Fingerprint> fingerprints);
}
