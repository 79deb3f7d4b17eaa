package org.balsambank.core.partition;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
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
 * Registers this VM as a member under a lease and renews the lease.
 *
 * <p>Confined to the decision loop. Invariants: the lease is considered valid for its time to live minus a margin,
 * counted from before the last successful renewal was sent; a lease ends as soon as this VM knows that the service has
 * entered a later era than the one in which it was granted; after a lease has ended, this VM registers again with a
 * higher registration number, never with the same one.
 */
public final class MemberLease {
    /** The key prefix of member registrations. */
    public static final String PREFIX = "ownership/members/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    /** All VMs register again in a new era, and the service takes a few hundred writes a second. */
    private static final Duration NEW_ERA_SPREAD = Duration.ofMillis(500);
    /** Registration numbers have 32 bits on the wire: the era, at most 13 bits, and a count within the era. */
    private static final int COUNT_BITS = 16;

    private static final int SPREAD_STEPS = 100;

    private final MemberRecord self;
    private final KeyValueStore store;
    private final OwnershipSettings settings;
    private final TimerService timer;
    private final Runnable beforeSend;
    private final Runnable onChange;
    private final SplittableRandom random = new SplittableRandom();
    private Optional<LeaseId> lease = Optional.empty();
    private Member member;
    private long keyRevision;
    private long validUntilNanos;
    private long registeredAtNanos;
    private long leaseEra;
    private boolean registered;

    /**
     * Creates the lease of a VM that is not registered yet.
     *
     * @param self the record of this VM
     * @param store the key-value service
     * @param settings the ownership settings
     * @param timer the clock and timers
     * @param onChange called after each registration, renewal and end of the lease
     */
    public MemberLease(
            final MemberRecord self,
            final KeyValueStore store,
            final OwnershipSettings settings,
            final TimerService timer,
            final Runnable onChange) {
        this(self, store, settings, timer, () -> {}, onChange);
    }

    /**
     * Creates the lease of a VM that is not registered yet.
     *
     * @param self the record of this VM
     * @param store the key-value service
     * @param settings the ownership settings
     * @param timer the clock and timers
     * @param beforeSend called before each registration and renewal is sent
     * @param onChange called after each registration, renewal and end of the lease
     */
    public MemberLease(
            final MemberRecord self,
            final KeyValueStore store,
            final OwnershipSettings settings,
            final TimerService timer,
            final Runnable beforeSend,
            final Runnable onChange) {
        this.self = Objects.requireNonNull(self);
        this.store = Objects.requireNonNull(store);
        this.settings = Objects.requireNonNull(settings);
        this.timer = Objects.requireNonNull(timer);
        this.beforeSend = Objects.requireNonNull(beforeSend);
        this.onChange = Objects.requireNonNull(onChange);
        member = AssignmentCodec.decode(self.getMember());
        validUntilNanos = timer.nanoTime();
    }

    /**
     * Creates the record of a VM that starts.
     *
     * @param vm the VM
     * @param boot unique for each start of the process
     * @param domain its failure domain
     * @param host the IP address on which the other VMs reach it
     * @param peerPort the TCP port on which the other VMs reach it
     * @return the record to register
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
     * Registers and renews until the subscription is disposed. Registers again after a failure or the end of the lease.
     *
     * @return never completes
     */
    public Completable run() {
        return Completable.defer(this::registerAndRenew)
                .onErrorResumeNext(error -> timer.after(RETRY_DELAY))
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
     * Returns whether the lease protects a registration at this instant.
     *
     * @param owner the registration
     * @return true if it is the newest registration and its lease is valid
     */
    public boolean protects(final Member owner) {
        return registered
                && owner.registration() == member.registration()
                && leaseEra == store.era().current()
                && timer.nanoTime() < validUntilNanos;
    }

    /**
     * Returns the lease of the newest registration.
     *
     * @return the lease if this VM is registered; it may have ended
     */
    public Optional<LeaseId> lease() {
        return registered ? lease : Optional.empty();
    }

    /**
     * Returns how long the lease would remain valid without a renewal, were it not for a new era.
     *
     * @return the time, zero if it has expired
     */
    public Duration remaining() {
        final long nanos = validUntilNanos - timer.nanoTime();
        return registered && nanos > 0 ? Duration.ofNanos(nanos) : Duration.ZERO;
    }

    /**
     * Returns the era in which the registration with a key was written. A key that a copy of an earlier era holds shows
     * that era.
     *
     * @param key the key of a registration
     * @return the era, 0 if the key names none
     */
    public static long era(final String key) {
        try {
            return Long.parseLong(key.substring(key.lastIndexOf('/') + 1)) >> COUNT_BITS;
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns whether a renewal is overdue, so that the lease may end before the next renewal succeeds.
     *
     * @return true if this VM is not registered or a renewal is overdue
     */
    boolean renewalOverdue() {
        final long remaining = validUntilNanos - timer.nanoTime();
        final Duration required = settings.leaseTimeToLive()
                .minus(settings.leaseMargin())
                .minus(settings.renewEvery())
                .minus(RETRY_DELAY);
        return !registered || remaining < required.toNanos();
    }

    /**
     * Returns the time since the newest registration.
     *
     * @return the time, zero if this VM is not registered
     */
    Duration age() {
        return registered ? Duration.ofNanos(timer.nanoTime() - registeredAtNanos) : Duration.ZERO;
    }

    /**
     * Marks the registration as stopping.
     *
     * @return completes when written; fails with a {@link KeyValueException}
     */
    Completable markStopping() {
        return Completable.defer(() -> {
            if (!registered) {
                return Completable.complete();
            }
            final MemberRecord record = currentRecord().setStopping(true).build();
            return store.compareAndSwap(key(), keyRevision, record.toByteString(), lease)
                    .doOnSuccess(revision -> keyRevision = revision)
                    .ignoreElement();
        });
    }

    /**
     * Revokes the lease. The caller must have stopped acting as an owner before.
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
        beforeSend.run();
        final long sentNanos = timer.nanoTime();
        return store.grantLease(settings.leaseTimeToLive()).flatMapCompletable(granted -> {
            leaseEra = store.era().current();
            return register(granted, sentNanos)
                    .flatMapCompletable(this::renewUntilEnded)
                    .takeUntil(endOfEra())
                    .andThen(Completable.defer(this::delayInNewEra));
        });
    }

    /** Ends the lease and completes as soon as a later era than that of the lease is known. */
    private Completable endOfEra() {
        return store.era()
                .changes()
                .observeOn(timer.scheduler())
                .filter(era -> era > leaseEra)
                .firstElement()
                .ignoreElement()
                .doOnComplete(() -> {
                    if (registered) {
                        onLeaseEnded();
                    }
                });
    }

    private Completable delayInNewEra() {
        if (store.era().current() == leaseEra) {
            return Completable.complete();
        }
        return timer.after(
                NEW_ERA_SPREAD.multipliedBy(random.nextInt(SPREAD_STEPS)).dividedBy(SPREAD_STEPS));
    }

    private Single<LeaseId> register(final LeaseId granted, final long sentNanos) {
        registered = false;
        member = new Member(member.vm(), member.boot(), nextRegistration());
        return store.compareAndSwap(
                        key(), KeyValueStore.ABSENT, currentRecord().build().toByteString(), Optional.of(granted))
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

    private int nextRegistration() {
        final int firstOfEra = (int) (leaseEra << COUNT_BITS) + 1;
        return Math.max(member.registration() + 1, firstOfEra);
    }

    private Completable renewUntilEnded(final LeaseId current) {
        final AtomicBoolean ended = new AtomicBoolean();
        return timer.after(settings.renewEvery())
                .andThen(Completable.defer(() -> renewWithRetry(current, ended)))
                .repeatUntil(ended::get)
                .doOnComplete(this::onLeaseEnded);
    }

    private Completable renewWithRetry(final LeaseId current, final AtomicBoolean ended) {
        return Completable.defer(() -> renew(current))
                .retryWhen(errors -> errors.flatMapSingle(error -> {
                    if (isLeaseEnded(error)) {
                        return Single.<Boolean>error(error);
                    }
                    return timer.after(RETRY_DELAY).toSingleDefault(true);
                }))
                .onErrorComplete(error -> {
                    ended.set(true);
                    return true;
                });
    }

    private Completable renew(final LeaseId current) {
        beforeSend.run();
        final long sentNanos = timer.nanoTime();
        return store.renewLease(current).doOnComplete(() -> extend(sentNanos));
    }

    private void onLeaseEnded() {
        registered = false;
        LOGGER.atWarning().log("event=lease_ended vm=%s registration=%d", member.vm(), member.registration());
        onChange.run();
    }

    private void extend(final long sentNanos) {
        final Duration usable = settings.leaseTimeToLive().minus(settings.leaseMargin());
        validUntilNanos = sentNanos + usable.toNanos();
        onChange.run();
    }

    private static boolean isLeaseEnded(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == Reason.LEASE_ENDED;
    }

    private MemberRecord.Builder currentRecord() {
        return self.toBuilder().setMember(AssignmentCodec.encode(member));
    }

    private String key() {
        return PREFIX + member.vm() + "/" + member.boot() + "/" + member.registration();
    }
}
