package org.balsambank.core.serving.placement;

import org.balsambank.core.id.TargetId;

/**
 * The keys under which VMs claim the right to give orders.
 *
 * <p>Stateless and thread-safe.
 */
public final class ClaimKeys {
    private static final String PREFIX = "serving/claims/";

    private ClaimKeys() {}

    /**
     * Returns the key of a target.
     *
     * @param target the target
     * @return the key
     */
    public static String key(final TargetId target) {
        return PREFIX + target.value();
    }

    /**
     * Tells whether a key is that of a claim.
     *
     * @param key the key
     * @return true if so
     */
    public static boolean isClaim(final String key) {
        return key.startsWith(PREFIX);
    }

    /**
     * Returns the target of a key.
     *
     * @param key the key of a claim
     * @return the target
     */
    public static TargetId target(final String key) {
        return new TargetId(key.substring(PREFIX.length()));
    }
}
