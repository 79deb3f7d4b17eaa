package org.balsambank.core.serving.placement;

import java.util.Objects;

import org.balsambank.core.id.TargetId;

/**
 * What a VM claims: control of a target, or a duty, that is, calls that one VM at a time makes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the store key of the claim
 */
public record ClaimSubject(String key) {
    private static final String TARGETS = "serving/claims/";
    private static final String DUTIES = "serving/duties/";

    /** Checks the key. */
    public ClaimSubject {
        Objects.requireNonNull(key);
        if (!isClaim(key)) {
            throw new IllegalArgumentException("not the key of a claim: " + key);
        }
    }

    /**
     * Returns the subject of a claim on a target.
     *
     * @param target the target
     * @return its subject
     */
    public static ClaimSubject target(final TargetId target) {
        return new ClaimSubject(TARGETS + target.value());
    }

    /**
     * Returns the subject of a claim on a duty.
     *
     * @param name the name of the duty, with what it is about
     * @return its subject
     */
    public static ClaimSubject duty(final String name) {
        return new ClaimSubject(DUTIES + name);
    }

    /**
     * Returns whether a key is the key of a claim.
     *
     * @param key the key
     * @return true if it has a prefix of claims
     */
    public static boolean isClaim(final String key) {
        return key.startsWith(TARGETS) || key.startsWith(DUTIES);
    }

    /**
     * Returns the kind of the subject, for the log.
     *
     * @return {@code target} or {@code duty}
     */
    public String kind() {
        return key.startsWith(TARGETS) ? "target" : "duty";
    }

    /**
     * Returns the name by which VMs are ranked for the subject.
     *
     * @return the id of the target or the name of the duty
     */
    public String name() {
        return key.substring(key.startsWith(TARGETS) ? TARGETS.length() : DUTIES.length());
    }
}
