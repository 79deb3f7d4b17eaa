package org.balsambank.core.partition;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.ConfirmAnswer;
import org.balsambank.protocol.generated.ownership.ConfirmRequest;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * Partition ownership based on one assignment in the key-value service and one lease per VM.
 *
 * <p>Confined to the decision loop. Invariants: this VM acts for a partition only while its lease is valid by its own
 * clock, or while promises of a majority of the voters keep the assignment in force; it acts for a partition of a
 * failed owner only after enough voters have adopted the takeover.
 */
public final class PartitionOwnership implements Ownership, Component {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration MIN_VM_LIST_PERIOD = Duration.ofSeconds(5);
    private static final Duration VM_LIST_PERIOD_PER_MEMBER = Duration.ofMillis(50);
    private static final Duration STOP_RETRY_DELAY = Duration.ofMillis(300);
    private static final int PROMISE_ROUNDS_PER_PROMISE = 4;

    private final Voter voter;
    private final VmEntry self;
    private final OwnershipSettings settings;
    private final OwnershipPorts ports;
    private final TimerService timer;
    private final AssignmentStore store;
    private final MemberLease lease;
    private final MembershipReader membershipReader;
    private final VoterPromises promises;
    private final Confirmations confirmations;
    private final OwnedPartitions owned;
    private final AdoptedAssignment adopted;
    private final HandOverExchange handOverExchange;
    private final AssignmentRepair repair;
    private final PartitionRebalancer rebalancer;
    private final OwnershipMetrics metrics;
    private final CompletableSubject leaseEnd = CompletableSubject.create();
    private Disposable takeOver = Disposable.disposed();
    private long lastPromiseRoundNanos;
    private boolean closed;

    /**
     * Creates the ownership of a VM that is not registered yet, and registers its peer methods.
     *
     * @param self this VM
     * @param boot unique for each start of the process
     * @param settings the ownership settings
     * @param ports the external dependencies
     */
    public PartitionOwnership(
            final VmEntry self, final String boot, final OwnershipSettings settings, final OwnershipPorts ports) {
        this.self = Objects.requireNonNull(self);
        this.settings = Objects.requireNonNull(settings);
        this.ports = Objects.requireNonNull(ports);
        voter = new Voter(self.id(), boot);
        timer = ports.timer();
        final KeyValueStore metered = new MeteredKeyValueStore(ports.store(), ports.registry(), "ownership");
        final OwnershipPorts meteredPorts = new OwnershipPorts(
                metered,
                ports.vms(),
                ports.peers(),
                ports.catalogue(),
                timer,
                ports.random(),
                ports.invariants(),
                ports.registry());
        store = new AssignmentStore(metered, timer, settings.partitions());
        owned = new OwnedPartitions(this::inForce);
        lease = new MemberLease(memberRecord(self, boot), metered, settings, timer, this::emitChanges);
        membershipReader = new MembershipReader(meteredPorts, settings);
        promises = new VoterPromises(timer, settings);
        adopted = new AdoptedAssignment(voter, settings.partitions(), timer, ports.invariants(), this::onAdopted);
        confirmations = new Confirmations(
                ports.peers(), timer, settings, voter, promises, membershipReader::gone, adopted::adoptIfNewer);
        metrics = new OwnershipMetrics(ports.registry(), () -> owned.held().size());
        handOverExchange = new HandOverExchange(ports.peers(), this::accepting);
        repair = new AssignmentRepair(
                adopted, store, membershipReader, lease, confirmations, metrics, settings, meteredPorts);
        rebalancer = new PartitionRebalancer(
                adopted, store, membershipReader, lease, owned, handOverExchange, confirmations, metrics, meteredPorts);
        ports.peers().serve(OwnershipMethods.CONFIRM, (from, request) -> Flowable.fromCallable(() -> vote(request)));
    }

    @Override
    public String name() {
        return "ownership";
    }

    @Override
    public Completable run() {
        final Completable watch = store.follow().doOnNext(adopted::adoptIfNewer).ignoreElements();
        final Completable ticks = timer.every(TICK).doOnNext(tick -> tick()).ignoreElements();
        final Completable vmList = Completable.defer(
                        () -> membershipReader.readVmList().andThen(timer.after(vmListPeriod())))
                .repeat();
        return Completable.mergeArray(
                lease.run().takeUntil(leaseEnd),
                watch.takeUntil(leaseEnd),
                repair.run().takeUntil(leaseEnd),
                rebalancer.run().takeUntil(leaseEnd),
                ticks,
                vmList);
    }

    /**
     * Adds a component whose state is sent to the next owner when a partition is handed over.
     *
     * @param participant the component
     */
    public void addParticipant(final HandOverParticipant participant) {
        handOverExchange.add(participant);
    }

    /**
     * Hands all partitions over and revokes the lease.
     *
     * @param limit the maximum time for the handover; other VMs take over the remaining partitions after the lease has
     *     ended
     * @return completes when this VM no longer acts for any partition and the attempt to revoke its lease has ended
     */
    public Completable stop(final Duration limit) {
        final Completable handOver = Completable.defer(() -> membershipReader
                        .read()
                        .ignoreElement()
                        .andThen(rebalancer.rebalanceOnce())
                        .onErrorComplete())
                .andThen(timer.after(STOP_RETRY_DELAY))
                .repeatUntil(() -> rebalancer.moves().isEmpty());
        return Completable.fromAction(rebalancer::stop)
                .andThen(lease.markStopping().onErrorComplete())
                .andThen(handOver.ambWith(timer.after(limit)))
                .andThen(Completable.fromAction(this::close))
                .andThen(lease.revoke().onErrorComplete());
    }

    /**
     * Returns the VMs whose lease had not ended when the member list was last read.
     *
     * @return the VMs as they registered, empty before the first read
     */
    public List<VmEntry> members() {
        return membershipReader.registeredVms();
    }

    /**
     * Reads the member list.
     *
     * @return the members; those last read if the key-value service does not respond
     */
    public Single<List<VmEntry>> readMembers() {
        return membershipReader.read().ignoreElement().onErrorComplete().andThen(Single.fromCallable(this::members));
    }

    @Override
    public PartitionId partitionOf(final SubjectKind kind, final String id) {
        final long hash = HASH.hashChars(kind + "/" + id);
        return new PartitionId((int) Math.floorMod(hash, (long) settings.partitions()));
    }

    @Override
    public Optional<VmId> ownerOf(final PartitionId partition) {
        return adopted.assignment().partitions().get(partition.value()).owner().map(Member::vm);
    }

    @Override
    public Optional<Epoch> heldEpoch(final PartitionId partition) {
        return owned.heldEpoch(partition);
    }

    @Override
    public Set<PartitionId> held() {
        return owned.held();
    }

    @Override
    public Flowable<OwnershipChange> changes() {
        return owned.changes();
    }

    private void close() {
        closed = true;
        leaseEnd.onComplete();
        emitChanges();
    }

    private boolean inForce(final Member owner) {
        return !closed && (lease.protects(owner) || confirmations.promised());
    }

    private boolean protectsUntilRenewal(final Member owner) {
        return lease.protects(owner) && !lease.renewalOverdue();
    }

    private boolean accepting() {
        return !closed && !rebalancer.stopping() && lease.protects(lease.member());
    }

    private void emitChanges() {
        owned.emitChanges();
    }

    private void onAdopted(final StoredAssignment next) {
        takeOver.dispose();
        promises.adopt(next.assignment().version());
        confirmations.adopt(next);
        owned.adopt(next.assignment(), lease.member(), handOverExchange::importState);
        if (owned.inactiveCount() > 0) {
            startTakeOver();
        }
        emitChanges();
    }

    private void startTakeOver() {
        takeOver = timer.after(settings.takeOverMargin())
                .andThen(confirmations.confirm())
                .subscribe(() -> {
                    if (confirmations.confirmed()) {
                        LOGGER.atInfo().log("event=taken_over vm=%s partitions=%d", voter.vm(), owned.inactiveCount());
                        metrics.recordTakeOver();
                        owned.activateAll();
                        emitChanges();
                    }
                });
    }

    private void tick() {
        final long now = timer.nanoTime();
        final long period = settings.promiseFor().toNanos() / PROMISE_ROUNDS_PER_PROMISE;
        if (!closed && now - lastPromiseRoundNanos >= period && owned.needPromises(this::protectsUntilRenewal)) {
            lastPromiseRoundNanos = now;
            metrics.recordPromiseRound();
            confirmations.requestPromises();
        }
        if (membershipReader.excluded(self.id(), self.failureDomain())) {
            rebalancer.rebalanceOnce().onErrorComplete().subscribe();
        }
        emitChanges();
    }

    private ConfirmAnswer vote(final ConfirmRequest request) throws InvalidProtocolBufferException {
        if (!request.getAssignment().isEmpty()) {
            adopted.adoptIfNewer(
                    new StoredAssignment(AssignmentCodec.decode(request.getAssignment()), request.getRevision()));
        }
        final long requestedVersion = request.getVersion();
        final long adoptedVersion = adopted.assignment().version();
        final ConfirmAnswer.Builder response = ConfirmAnswer.newBuilder()
                .setBoot(voter.boot())
                .setVersion(adoptedVersion)
                .setGranted(
                        request.getPromise() ? promises.promise(requestedVersion) : promises.confirm(requestedVersion));
        if (requestedVersion < adoptedVersion) {
            final ByteString value = AssignmentCodec.encode(adopted.assignment());
            response.setAssignment(value).setRevision(adopted.stored().revision());
        }
        return response.build();
    }

    private Duration vmListPeriod() {
        final Duration scaled = VM_LIST_PERIOD_PER_MEMBER.multipliedBy(
                membershipReader.members().newest().size());
        return scaled.compareTo(MIN_VM_LIST_PERIOD) < 0 ? MIN_VM_LIST_PERIOD : scaled;
    }

    private static MemberRecord memberRecord(final VmEntry self, final String boot) {
        return MemberRecord.newBuilder()
                .setMember(AssignmentCodec.encode(new Member(self.id(), boot, 0)))
                .setFailureDomain(self.failureDomain().value())
                .setHost(self.host())
                .setPeerPort(self.peerPort())
                .build();
    }
}
