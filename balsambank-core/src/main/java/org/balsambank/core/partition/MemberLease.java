package org.balsambank.core.partition;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * Keeps this VM registered under a lease.
 *
 * <p>Confined to the decision loop. Invariants: the lease counts as valid only until its time to live less a margin
 * has passed since before the last successful renewal was sent; a lease that ended is replaced by another registration
 * with a higher number, never by the same one.
 */
public final class MemberLease {
    /** The prefix of the keys of members. */
    public static final String PREFIX = "ownership/members/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RETRY = Duration.ofMillis(250);

    private final MemberRecord self;
    private final KeyValueStore store;
    private final OwnershipSettings settings;
    private final TimerService timer;
    private final Runnable sending;
    private final Runnable changed;
    private Optional<LeaseId> lease = Optional.empty();
    private Member member;
    private long keyRevision;
    private long validUntilNanos;
    private long registeredAtNanos;
    private boolean registered;

    /**
     * Creates a keeper that is not registered.
     *
     * @param self what this VM says of itself
     * @param store the key-value service
     * @param settings the durations
     * @param timer gives the time
     * @param changed runs after each registration and renewal
     */
    public MemberLease(
            final MemberRecord self,
            final KeyValueStore store,
            final OwnershipSettings settings,
            final TimerService timer,
            final Runnable changed) {
        this(self, store, settings, timer, () -> {}, changed);
    }

    /**
     * Creates a keeper that is not registered.
     *
     * @param self what this VM says of itself
     * @param store the key-value service
     * @param settings the durations
     * @param timer gives the time
     * @param sending runs before each registration and renewal is sent
     * @param changed runs after each registration and renewal
     */
    public MemberLease(
            final MemberRecord self,
            final KeyValueStore store,
            final OwnershipSettings settings,
            final TimerService timer,
            final Runnable sending,
            final Runnable changed) {
        this.self = Objects.requireNonNull(self);
        this.store = Objects.requireNonNull(store);
        this.settings = Objects.requireNonNull(settings);
        this.timer = Objects.requireNonNull(timer);
        this.sending = Objects.requireNonNull(sending);
        this.changed = Objects.requireNonNull(changed);
        member = AssignmentCodec.decode(self.getMember());
        validUntilNanos = timer.nanoTime();
    }

    /**
     * Makes the record of a VM that starts.
     *
     * @param vm the VM
     * @param boot differs for each start of the process
     * @param domain where it stands
     * @param host the IP number on which the others reach it
     * @param peerPort the TCP port on which the others reach it
     * @return what it says of itself
     */
    public static MemberRecord record(
            final VmId vm, final String boot, final FailureDomain domain, final String host, final int peerPort) {
        return MemberRecord.newBuilder()
                .setMember(AssignmentCodec.encode(new Member(vm, boot, 0)))
                .setFailureDomain(domain.value())
                .setHost(host)
                .setPeerPort(peerPort)
                .build();
    }

    /**
     * Registers and renews until the subscription is disposed.
     *
     * @return never completes
     */
    public Completable run() {
        return Completable.defer(this::registerAndRenew)
                .onErrorResumeNext(error -> timer.after(RETRY))
                .repeat();
    }

    /**
     * Returns the newest registration of this VM.
     *
     * @return the registration, valid or not
     */
    public Member member() {
        return member;
    }

    /**
     * Tells whether a registration is protected by the lease at this instant.
     *
     * @param owner the registration
     * @return true if it is the newest one and its lease lasts
     */
    public boolean protects(final Member owner) {
        return registered && owner.registration() == member.registration() && timer.nanoTime() < validUntilNanos;
    }

    /**
     * Returns the lease of the newest registration.
     *
     * @return the lease, if there is a registration; it may have ended
     */
    public Optional<LeaseId> lease() {
        return registered ? lease : Optional.empty();
    }

    /**
     * Tells whether a renewal is overdue, so that the lease may end before the next one succeeds.
     *
     * @return true if so
     */
    boolean overdue() {
        final long rest = validUntilNanos - timer.nanoTime();
        final Duration due = settings.leaseTimeToLive()
                .minus(settings.leaseMargin())
                .minus(settings.renewEvery())
                .minus(RETRY);
        return !registered || rest < due.toNanos();
    }

    /**
     * Tells for how long this VM has been registered.
     *
     * @return the time since the registration, or zero
     */
    Duration age() {
        return registered ? Duration.ofNanos(timer.nanoTime() - registeredAtNanos) : Duration.ZERO;
    }

    /**
     * Notes in the registration that this VM is stopping.
     *
     * @return completes when written; fails with a {@link KeyValueException}
     */
    Completable markStopping() {
        return Completable.defer(() -> {
            if (!registered) {
                return Completable.complete();
            }
            final MemberRecord entry = entry().setStopping(true).build();
            return store.compareAndSwap(key(), keyRevision, entry.toByteString(), lease)
                    .doOnSuccess(revision -> keyRevision = revision)
                    .ignoreElement();
        });
    }

    /**
     * Ends the lease. The caller has stopped to act before.
     *
     * @return completes when the lease has ended; fails with a {@link KeyValueException}
     */
    public Completable revoke() {
        return Completable.defer(() -> {
            registered = false;
            return lease.isEmpty() ? Completable.complete() : store.revokeLease(lease.get());
        });
    }

    private Completable registerAndRenew() {
        sending.run();
        final long sentNanos = timer.nanoTime();
        return store.grantLease(settings.leaseTimeToLive())
                .flatMap(granted -> register(granted, sentNanos))
                .flatMapCompletable(this::renewUntilEnded);
    }

    private Single<LeaseId> register(final LeaseId granted, final long sentNanos) {
        registered = false;
        member = new Member(member.vm(), member.boot(), member.registration() + 1);
        return store.compareAndSwap(key(), KeyValueStore.ABSENT, entry().build().toByteString(), Optional.of(granted))
                .map(revision -> {
                    lease = Optional.of(granted);
                    keyRevision = revision;
                    registered = true;
                    registeredAtNanos = timer.nanoTime();
                    extend(sentNanos);
                    LOGGER.atInfo().log("event=registered vm=%s registration=%d", member.vm(), member.registration());
                    return granted;
                });
    }

    private Completable renewUntilEnded(final LeaseId current) {
        final AtomicBoolean ended = new AtomicBoolean();
        return timer.after(settings.renewEvery())
                .andThen(Completable.defer(() -> renewPersistently(current, ended)))
                .repeatUntil(ended::get)
                .doOnComplete(this::ended);
    }

    private Completable renewPersistently(final LeaseId current, final AtomicBoolean ended) {
        return Completable.defer(() -> renew(current))
                .retryWhen(errors -> errors.flatMapSingle(error -> {
                    if (hasEnded(error)) {
                        return Single.<Boolean>error(error);
                    }
                    return timer.after(RETRY).toSingleDefault(true);
                }))
                .onErrorComplete(error -> {
                    ended.set(true);
                    return true;
                });
    }

    private Completable renew(final LeaseId current) {
        sending.run();
        final long sentNanos = timer.nanoTime();
        return store.renewLease(current).doOnComplete(() -> extend(sentNanos));
    }

    private void ended() {
        registered = false;
        LOGGER.atWarning().log("event=lease_ended vm=%s registration=%d", member.vm(), member.registration());
        changed.run();
    }

    private void extend(final long sentNanos) {
        final Duration usable = settings.leaseTimeToLive().minus(settings.leaseMargin());
        validUntilNanos = sentNanos + usable.toNanos();
        changed.run();
    }

    private static boolean hasEnded(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == Reason.LEASE_ENDED;
    }

    private MemberRecord.Builder entry() {
        return self.toBuilder().setMember(AssignmentCodec.encode(member));
    }

    private String key() {
        return PREFIX + member.vm() + "/" + member.boot() + "/" + member.registration();
    }
}
