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
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.target.RendezvousHash;
import org.balsambank.core.time.TimerService;

/**
 * Claims the right to give orders to targets: one key each, written under the lease of this VM if nobody has it.
 *
 * <p>All VMs order the registered ones by rendezvous hashing; the first claims at once, each further one waits its
 * turn, so that a first one that can't reach the service is no obstacle. A VM that has started again replaces the
 * claims of its run before. The revision of the key is the fencing number. Invariant: a claim counts only while the
 * lease under which it was written lasts. Confined to the decision loop.
 */
public final class TargetClaims {
    private static final long TURN_NANOS = Duration.ofMillis(1_200).toNanos();
    private static final long RETRY_NANOS = Duration.ofMillis(700).toNanos();

    private final VmId self;
    private final KeyValueStore store;
    private final LeaseView lease;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetId, Claim> claims = new HashMap<>();
    private final Map<TargetId, Long> freeSince = new HashMap<>();
    private final Map<TargetId, Long> triedAt = new HashMap<>();
    private final Set<TargetId> lost = new HashSet<>();

    /**
     * Creates claims that know of none.
     *
     * @param self this VM
     * @param store the key-value service
     * @param lease the lease of this VM
     * @param timer gives the time
     * @param log takes a line for each change
     */
    public TargetClaims(
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
     * A claim has changed in the key-value service.
     *
     * @param change the change of a key of {@link ClaimKeys}
     */
    public void changed(final KeyValueChange change) {
        final TargetId target = ClaimKeys.target(change.key());
        if (change.value().isEmpty()) {
            claims.remove(target);
            freeSince.put(target, timer.nanoTime());
            return;
        }
        final String[] parts = change.value().get().toStringUtf8().split(" ");
        if (parts.length != 2) {
            return;
        }
        claims.put(target, new Claim(new VmId(parts[0]), new LeaseId(parts[1]), change.revision()));
        freeSince.remove(target);
        log.line("claim")
                .with("target", target.value())
                .with("holder", parts[0])
                .with("fence", change.revision())
                .write();
    }

    /**
     * Returns the VM that gives orders to a target.
     *
     * @param target the target
     * @return the VM, if one has claimed it
     */
    public Optional<VmId> holder(final TargetId target) {
        return Optional.ofNullable(claims.get(target)).map(Claim::vm);
    }

    /**
     * Returns the right of this VM to give orders to a target.
     *
     * @param target the target
     * @return the right, if this VM has claimed it under the lease that it has now
     */
    public Optional<HeldClaim> right(final TargetId target) {
        final Claim claim = claims.get(target);
        if (claim == null) {
            return Optional.empty();
        }
        final Right right = new Right(target, claim);
        return right.valid() ? Optional.of(right) : Optional.empty();
    }

    /**
     * Claims targets that nobody has.
     *
     * @param targets the targets that need orders
     * @param vms the VMs that are registered
     */
    public void claim(final Collection<TargetId> targets, final Collection<VmId> vms) {
        final Optional<LeaseId> current = lease.current();
        if (current.isEmpty() || !lease.valid()) {
            return;
        }
        final long now = timer.nanoTime();
        for (final TargetId target : targets) {
            final Claim claim = claims.get(target);
            if (claim != null && !formerOwn(claim, current.get())) {
                continue;
            }
            final long free = now - freeSince.computeIfAbsent(target, ignored -> now);
            final boolean retry = now - triedAt.getOrDefault(target, now - RETRY_NANOS) >= RETRY_NANOS;
            if (retry && (claim != null || free >= turn(target, vms) * TURN_NANOS)) {
                triedAt.put(target, now);
                write(target, current.get(), claim == null ? KeyValueStore.ABSENT : claim.revision);
            }
        }
    }

    private boolean formerOwn(final Claim claim, final LeaseId current) {
        return claim.vm.equals(self) && !claim.lease.equals(current);
    }

    private void write(final TargetId target, final LeaseId current, final long expectedRevision) {
        final ByteString value = ByteString.copyFrom(self.value() + " " + current.value(), StandardCharsets.UTF_8);
        final String key = ClaimKeys.key(target);
        store.compareAndSwap(key, expectedRevision, value, Optional.of(current))
                .subscribe(
                        revision -> {
                            lost.remove(target);
                            changed(new KeyValueChange(key, Optional.of(value), revision));
                        },
                        error -> log.line("claim_failed")
                                .with("target", target.value())
                                .with("reason", String.valueOf(error.getMessage()))
                                .write());
    }

    private int turn(final TargetId target, final Collection<VmId> vms) {
        return RendezvousHash.rank(target.value(), self.value(), vms.stream().map(VmId::value));
    }

    /** A claim as written. */
    private record Claim(VmId vm, LeaseId lease, long revision) {}

    /** A right of this VM. */
    private final class Right implements HeldClaim {
        private final TargetId target;
        private final Claim claim;

        Right(final TargetId target, final Claim claim) {
            this.target = target;
            this.claim = claim;
        }

        @Override
        public boolean valid() {
            return claim.equals(claims.get(target))
                    && !lost.contains(target)
                    && lease.valid()
                    && lease.current().filter(claim.lease::equals).isPresent();
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
        public void lost() {
            lost.add(target);
        }
    }
}
