package org.balsambank.core.serving.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.target.RendezvousHash;
import org.balsambank.core.time.TimerService;

/**
 * Claims subjects, that is, targets to control and duties: one store key per subject, written under the lease of this
 * VM if no VM has claimed it.
 *
 * <p>All VMs rank the registered VMs by rendezvous hashing. The first one claims at once and each further one after a
 * longer delay, so that a VM that cannot reach the key-value service does not block the claim. A VM with a new
 * lease, for example after a restart, replaces the claims that it wrote under an earlier lease. The revision of the
 * key is the fencing number.
 *
 * <p>In a new era of the key-value service, all claims are void, also those that it still shows from its copy. The VM
 * that held a claim when the era ended claims again at once, until its former lease would have ended. All others wait
 * for the time of a lease: the holder may not know of the era before then, and holders must not alternate.
 *
 * <p>Invariant: a claim is valid only while the lease under which it was written is, and in the era in which it was
 * written. Confined to the decision loop.
 */
public final class Claims {
    private static final long DELAY_PER_RANK_NANOS = Duration.ofMillis(1_200).toNanos();
    private static final long NEW_ERA_DELAY_NANOS = Duration.ofMillis(3_000).toNanos();
    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(700).toNanos();

    private final VmId self;
    private final KeyValueStore store;
    private final LeaseView lease;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<ClaimSubject, Claim> claims = new HashMap<>();
    private final Map<ClaimSubject, Long> unclaimedSince = new HashMap<>();
    private final Map<ClaimSubject, Long> attemptedAt = new HashMap<>();
    private final Set<ClaimSubject> lostClaims = new HashSet<>();
    /** Until when this VM may claim subjects again at once that it held when the era ended. */
    private final Map<ClaimSubject, Long> reclaimUntil = new HashMap<>();

    private long era;
    private long eraSince;

    /**
     * Creates an instance that knows no claims.
     *
     * @param self this VM
     * @param store the key-value service
     * @param lease the lease of this VM
     * @param timer the timer service
     * @param log the decision log; gets a line for each new claim and each failed attempt
     */
    public Claims(
            final VmId self,
            final KeyValueStore store,
            final LeaseView lease,
            final TimerService timer,
            final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.store = Objects.requireNonNull(store);
        this.lease = Objects.requireNonNull(lease);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Applies a change of a claim that the key-value service reported.
     *
     * @param change the change of the key of a {@link ClaimSubject}
     */
    public void applyChange(final KeyValueChange change) {
        final ClaimSubject subject = new ClaimSubject(change.key());
        if (change.value().isEmpty()) {
            final Claim removed = claims.remove(subject);
            if (removed == null || inForce(removed)) {
                unclaimedSince.put(subject, timer.nanoTime());
            }
            return;
        }
        final String[] parts = change.value().get().toStringUtf8().split(" ");
        if (parts.length != 2 && parts.length != 3) {
            return;
        }
        final Claim claim = new Claim(
                new VmId(parts[0]), new LeaseId(parts[1]), change.revision(), parts.length == 2 ? "0" : parts[2]);
        claims.put(subject, claim);
        if (!inForce(claim)) {
            return;
        }
        unclaimedSince.remove(subject);
        reclaimUntil.remove(subject);
        log.line("claim")
                .with(subject.kind(), subject.name())
                .with("holder", parts[0])
                .with("fence", change.revision())
                .write();
    }

    /**
     * Returns the holder of the claim on a subject.
     *
     * @param subject the subject
     * @return the VM that has claimed it, if any
     */
    public Optional<VmId> holder(final ClaimSubject subject) {
        return Optional.ofNullable(claims.get(subject)).filter(this::inForce).map(Claim::holder);
    }

    /**
     * Returns the claim of this VM on a subject.
     *
     * @param subject the subject
     * @return the claim, if this VM wrote it under its current lease and it is valid
     */
    public Optional<HeldClaim> heldClaim(final ClaimSubject subject) {
        final Claim claim = claims.get(subject);
        if (claim == null) {
            return Optional.empty();
        }
        final OwnClaim ownClaim = new OwnClaim(subject, claim);
        return ownClaim.valid() ? Optional.of(ownClaim) : Optional.empty();
    }

    /**
     * Claims each given subject that is unclaimed, after the delay of this VM's rank, or that this VM claimed under an
     * earlier lease. Does nothing without a valid lease.
     *
     * @param subjects the subjects to hold
     * @param vms the registered VMs
     */
    public void claim(final Collection<ClaimSubject> subjects, final Collection<VmId> vms) {
        final Optional<LeaseId> current = lease.current();
        if (current.isEmpty() || !lease.valid()) {
            return;
        }
        final long now = timer.nanoTime();
        for (final ClaimSubject subject : subjects) {
            final Claim claim = claims.get(subject);
            final boolean inForce = claim != null && inForce(claim);
            if (inForce && !isOwnFromPreviousLease(claim, current.get())) {
                continue;
            }
            final boolean attemptDue =
                    now - attemptedAt.getOrDefault(subject, now - RETRY_INTERVAL_NANOS) >= RETRY_INTERVAL_NANOS;
            if (attemptDue && (inForce || mayReclaim(subject, now) || unclaimedLongEnough(subject, vms, now))) {
                attemptedAt.put(subject, now);
                write(subject, current.get(), expectedRevision(claim));
            }
        }
    }

    /**
     * Makes all claims void, as the key-value service has entered a new era. Must be called before the lease of this VM
     * ends for that reason.
     *
     * @param newEra the era
     */
    public void beginEra(final long newEra) {
        final long now = timer.nanoTime();
        final Duration remaining = lease.remaining();
        claims.forEach((subject, claim) -> {
            if (inForce(claim) && isOwn(claim) && !lostClaims.contains(subject) && !remaining.isZero()) {
                reclaimUntil.put(subject, now + remaining.toNanos());
            }
        });
        claims.clear();
        era = newEra;
        eraSince = now;
        attemptedAt.clear();
        unclaimedSince.clear();
    }

    private long expectedRevision(final Claim known) {
        return known == null || StoreRevision.era(known.revision) != era ? KeyValueStore.ABSENT : known.revision;
    }

    private boolean inForce(final Claim claim) {
        return StoreRevision.era(claim.revision) == era && claim.writtenIn.equals(Long.toString(era));
    }

    private boolean mayReclaim(final ClaimSubject subject, final long now) {
        final Long until = reclaimUntil.get(subject);
        return until != null && now - until < 0;
    }

    private boolean unclaimedLongEnough(final ClaimSubject subject, final Collection<VmId> vms, final long now) {
        long since = unclaimedSince.computeIfAbsent(subject, ignored -> now);
        if (era > 0) {
            since = Math.max(since, eraSince + NEW_ERA_DELAY_NANOS);
        }
        return now - since >= rank(subject, vms) * DELAY_PER_RANK_NANOS;
    }

    private boolean isOwn(final Claim claim) {
        return claim.holder.equals(self)
                && lease.current().filter(claim.lease::equals).isPresent();
    }

    private boolean isOwnFromPreviousLease(final Claim claim, final LeaseId current) {
        return claim.holder.equals(self) && !claim.lease.equals(current);
    }

    private void write(final ClaimSubject subject, final LeaseId current, final long expectedRevision) {
        final ByteString value = ByteString.copyFrom(
                self.value() + " " + current.value() + (era == 0 ? "" : " " + era), StandardCharsets.UTF_8);
        final String key = subject.key();
        store.compareAndSwap(key, expectedRevision, value, Optional.of(current))
                .subscribe(
                        revision -> {
                            lostClaims.remove(subject);
                            applyChange(new KeyValueChange(key, Optional.of(value), revision));
                        },
                        error -> log.line("claim_failed")
                                .with(subject.kind(), subject.name())
                                .with("reason", String.valueOf(error.getMessage()))
                                .write());
    }

    private int rank(final ClaimSubject subject, final Collection<VmId> vms) {
        return RendezvousHash.rank(subject.name(), self.value(), vms.stream().map(VmId::value));
    }

    /** A claim as written to the key-value service, with the era in which its holder wrote it. */
    private record Claim(VmId holder, LeaseId lease, long revision, String writtenIn) {}

    /** A claim of this VM. */
    private final class OwnClaim implements HeldClaim {
        private final ClaimSubject subject;
        private final Claim claim;

        OwnClaim(final ClaimSubject subject, final Claim claim) {
            this.subject = subject;
            this.claim = claim;
        }

        @Override
        public boolean valid() {
            return claim.equals(claims.get(subject))
                    && inForce(claim)
                    && isOwn(claim)
                    && !lostClaims.contains(subject)
                    && lease.valid();
        }

        @Override
        public long fence() {
            return claim.revision;
        }

        @Override
        public VmId holder() {
            return self;
        }

        @Override
        public void markLost() {
            lostClaims.add(subject);
        }
    }
}
