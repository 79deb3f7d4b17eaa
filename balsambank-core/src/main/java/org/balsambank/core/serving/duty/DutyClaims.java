package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.serving.placement.Claims;
import org.balsambank.core.serving.placement.HeldClaim;
import org.balsambank.core.time.TimerService;

/**
 * Claims the subjects of duties for this VM.
 *
 * <p>Invariant: holders do not alternate A, B, A within the lease time. A VM that has held a subject does not claim it
 * again within that time after another VM was seen to hold it, and a VM that has started claims nothing for that time,
 * as it may have held subjects before its restart. Confined to the decision loop.
 */
final class DutyClaims {
    private static final long RELEASE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final VmId self;
    private final Claims claims;
    private final KeyValueStore store;
    private final Duration lease;
    private final TimerService timer;
    private final DecisionLog log;
    private final long startedNanos;
    private final Map<ClaimSubject, Long> heldElsewhereNanos = new HashMap<>();
    private final Map<ClaimSubject, Long> heldNanos = new HashMap<>();
    private final Map<ClaimSubject, Long> rejected = new HashMap<>();
    private final Map<ClaimSubject, Long> releasedNanos = new HashMap<>();
    private long held;
    private boolean stopped;

    /**
     * Creates an instance that holds nothing.
     *
     * @param self this VM
     * @param claims the claims of all VMs
     * @param store the key-value service
     * @param lease the lease time
     * @param timer supplies the monotonic time
     * @param log the decision log; gets a line for each claim that is given up
     */
    DutyClaims(
            final VmId self,
            final Claims claims,
            final KeyValueStore store,
            final Duration lease,
            final TimerService timer,
            final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.claims = Objects.requireNonNull(claims);
        this.store = Objects.requireNonNull(store);
        this.lease = Objects.requireNonNull(lease);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        startedNanos = timer.nanoTime();
    }

    /** Claims the subjects that this VM may claim now. */
    void claim(final Collection<ClaimSubject> subjects, final Collection<VmId> vms) {
        releaseRejected();
        final long now = timer.nanoTime();
        for (final ClaimSubject subject : subjects) {
            if (claims.holder(subject).filter(vm -> !vm.equals(self)).isPresent()) {
                heldElsewhereNanos.put(subject, now);
            }
        }
        heldElsewhereNanos.values().removeIf(since -> now - since > lease.toNanos());
        if (!stopped && now - startedNanos >= lease.toNanos()) {
            final List<ClaimSubject> allowed = subjects.stream()
                    .filter(subject -> !heldBefore(subject) || !heldElsewhereNanos.containsKey(subject))
                    .toList();
            claims.claim(allowed, vms);
        }
        heldNanos.values().removeIf(since -> now - since > 2 * lease.toNanos());
        subjects.stream().filter(subject -> held(subject).isPresent()).forEach(subject -> heldNanos.put(subject, now));
        held = subjects.stream().filter(subject -> held(subject).isPresent()).count();
    }

    private boolean heldBefore(final ClaimSubject subject) {
        return heldNanos.containsKey(subject);
    }

    /** Returns this VM's valid claim on a subject. */
    Optional<HeldClaim> held(final ClaimSubject subject) {
        return stopped ? Optional.empty() : claims.heldClaim(subject);
    }

    /** Returns whether the store shows this VM as the holder of a subject, valid or not. */
    boolean isHolder(final ClaimSubject subject) {
        return claims.holder(subject).filter(self::equals).isPresent();
    }

    /** Returns how many subjects this VM holds. */
    long count() {
        return held;
    }

    /** Gives up a claim whose fencing token was rejected, so that it is never used again. */
    void fenced(final ClaimSubject subject, final HeldClaim claim) {
        claim.markLost();
        log.line("duty_fenced")
                .with("duty", subject.name())
                .with("fence", claim.fence())
                .write();
        rejected.put(subject, claim.fence());
        releaseRejected();
    }

    /** Deletes claims that were given up and that the key-value service still has, so that they can be claimed anew. */
    private void releaseRejected() {
        final long now = timer.nanoTime();
        rejected.keySet().removeIf(subject -> !isHolder(subject));
        rejected.forEach((subject, fence) -> {
            final Long previous = releasedNanos.get(subject);
            if (previous == null || now - previous >= RELEASE_INTERVAL_NANOS) {
                releasedNanos.put(subject, now);
                release(subject, fence);
            }
        });
    }

    private void release(final ClaimSubject subject, final long fence) {
        store.delete(subject.key(), fence).subscribe(() -> rejected.remove(subject, fence), error -> {
            if (error instanceof KeyValueException known && known.reason() == KeyValueException.Reason.CONFLICT) {
                rejected.remove(subject, fence);
            }
            log.line("duty_not_released")
                    .with("duty", subject.name())
                    .with("reason", String.valueOf(error.getMessage()))
                    .write();
        });
    }

    /** Holds and claims nothing any more, as this VM stops. */
    void stop() {
        stopped = true;
        held = 0;
    }
}
