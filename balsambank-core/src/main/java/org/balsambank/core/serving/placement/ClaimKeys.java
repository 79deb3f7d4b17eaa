package org.balsambank.core.serving.placement;

import org.balsambank.core.id.TargetId;

/**
 * The store keys of the claims with which VMs take control of targets.
 *
 * <p>Stateless and thread-safe.
 */
public final class ClaimKeys {
    private static final String PREFIX = "serving/claims/";

    private ClaimKeys() {}

    /**
     * Returns the key of the claim on a target.
     *
     * @param target the target
     * @return the key
     */
    public static String key(final TargetId target) {
        return PREFIX + target.value();
    }

    /**
     * Returns whether a key is the key of a claim.
     *
     * @param key the key
     * @return true if it has the prefix of claims
     */
    public static boolean isClaim(final String key) {
        return key.startsWith(PREFIX);
    }

    /**
     * Returns the target of a claim.
     *
     * @param key the key of a claim
     * @return the target
     */
    public static TargetId target(final String key) {
        return new TargetId(key.substring(PREFIX.length()));
    }
}
