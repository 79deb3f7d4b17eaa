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
 * Ownership by one assignment in the key-value service and one lease per VM.
 *
 * <p>Confined to the decision loop. Invariants: this VM acts for a partition only while its lease lasts by its own
 * clock, or while a majority of the voters promise that the assignment stays in force; a partition that was taken from
 * an owner that failed is acted for only after enough voters have adopted the take-over.
 */
public final class PartitionOwnership implements Ownership, Component {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration MIN_LIST_PERIOD = Duration.ofSeconds(5);
    private static final Duration LIST_PERIOD_PER_MEMBER = Duration.ofMillis(50);
    private static final Duration STOP_RETRY = Duration.ofMillis(300);
    private static final int PROMISE_ROUNDS = 4;

    private final Voter voter;
    private final VmEntry self;
    private final OwnershipSettings settings;
    private final OwnershipPorts ports;
    private final TimerService timer;
    private final AssignmentStore store;
    private final MemberLease lease;
    private final MembershipReader scan;
    private final VoterPromises promises;
    private final Confirmations confirmations;
    private final OwnedPartitions slots;
    private final AdoptedAssignment adopted;
    private final HandOverExchange handOvers;
    private final AssignmentRepair repair;
    private final PartitionRebalancer release;
    private final OwnershipMetrics metrics;
    private final CompletableSubject leaseEnd = CompletableSubject.create();
    private Disposable takeOver = Disposable.disposed();
    private long lastPromiseRoundNanos;
    private boolean closed;

    /**
     * Creates the ownership of a VM that is not registered yet, and serves the calls of the others.
     *
     * @param self this VM
     * @param boot differs for each start of the process
     * @param settings the durations
     * @param ports the outside
     */
    public PartitionOwnership(
            final VmEntry self, final String boot, final OwnershipSettings settings, final OwnershipPorts ports) {
        this.self = Objects.requireNonNull(self);
        this.settings = Objects.requireNonNull(settings);
        this.ports = Objects.requireNonNull(ports);
        voter = new Voter(self.id(), boot);
        timer = ports.timer();
        final KeyValueStore metered = new MeteredKeyValueStore(ports.store(), ports.registry(), "ownership");
        final OwnershipPorts inner = new OwnershipPorts(
                metered,
                ports.vms(),
                ports.peers(),
                ports.catalogue(),
                timer,
                ports.random(),
                ports.invariants(),
                ports.registry());
        store = new AssignmentStore(metered, timer, settings.partitions());
        slots = new OwnedPartitions(this::inForce);
        lease = new MemberLease(entry(self, boot), metered, settings, timer, this::announce);
        scan = new MembershipReader(inner, settings);
        promises = new VoterPromises(timer, settings);
        adopted = new AdoptedAssignment(voter, settings.partitions(), timer, ports.invariants(), this::onAdopted);
        confirmations = new Confirmations(ports.peers(), timer, settings, voter, promises, scan::gone, adopted::offer);
        metrics = new OwnershipMetrics(ports.registry(), () -> slots.held().size());
        handOvers = new HandOverExchange(ports.peers(), this::accepting);
        repair = new AssignmentRepair(adopted, store, scan, lease, confirmations, metrics, settings, inner);
        release = new PartitionRebalancer(adopted, store, scan, lease, slots, handOvers, confirmations, metrics, inner);
        ports.peers().serve(OwnershipMethods.CONFIRM, (from, request) -> Flowable.fromCallable(() -> vote(request)));
    }

    @Override
    public String name() {
        return "ownership";
    }

    @Override
    public Completable run() {
        final Completable follow = store.follow().doOnNext(adopted::offer).ignoreElements();
        final Completable ticks = timer.every(TICK).doOnNext(tick -> tick()).ignoreElements();
        final Completable vmList = Completable.defer(() -> scan.readVmList().andThen(timer.after(listPeriod())))
                .repeat();
        return Completable.mergeArray(
                lease.run().takeUntil(leaseEnd),
                follow.takeUntil(leaseEnd),
                repair.run().takeUntil(leaseEnd),
                release.run().takeUntil(leaseEnd),
                ticks,
                vmList);
    }

    /**
     * Adds a part whose state is passed on when a partition is handed over.
     *
     * @param participant the part
     */
    public void addParticipant(final HandOverParticipant participant) {
        handOvers.add(participant);
    }

    /**
     * Hands all partitions over and ends the lease.
     *
     * @param limit how long to try; what is left then is taken over by others when the lease has ended
     * @return completes when this VM owns nothing and its lease has ended
     */
    public Completable stop(final Duration limit) {
        final Completable handOver = Completable.defer(() ->
                        scan.read().ignoreElement().andThen(release.once()).onErrorComplete())
                .andThen(timer.after(STOP_RETRY))
                .repeatUntil(() -> release.moves().isEmpty());
        return Completable.fromAction(release::stop)
                .andThen(lease.markStopping().onErrorComplete())
                .andThen(handOver.ambWith(timer.after(limit)))
                .andThen(Completable.fromAction(this::close))
                .andThen(lease.revoke().onErrorComplete());
    }

    /**
     * Returns the VMs whose lease had not ended when the list of members was last read.
     *
     * @return the VMs as they registered, none before the first read
     */
    public List<VmEntry> members() {
        return scan.registered();
    }

    /**
     * Reads the list of members now.
     *
     * @return the members, as last known if the key-value service does not answer
     */
    public Single<List<VmEntry>> readMembers() {
        return scan.read().ignoreElement().onErrorComplete().andThen(Single.fromCallable(this::members));
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
        return slots.heldEpoch(partition);
    }

    @Override
    public Set<PartitionId> held() {
        return slots.held();
    }

    @Override
    public Flowable<OwnershipChange> changes() {
        return slots.changes();
    }

    private void close() {
        closed = true;
        leaseEnd.onComplete();
        announce();
    }

    private boolean inForce(final Member owner) {
        return !closed && (lease.protects(owner) || confirmations.promised());
    }

    private boolean surelyProtects(final Member owner) {
        return lease.protects(owner) && !lease.overdue();
    }

    private boolean accepting() {
        return !closed && !release.stopping() && lease.protects(lease.member());
    }

    private void announce() {
        slots.announce();
    }

    private void onAdopted(final StoredAssignment next) {
        takeOver.dispose();
        promises.adopt(next.assignment().version());
        confirmations.adopt(next);
        slots.adopt(next.assignment(), lease.member(), handOvers::importState);
        if (slots.waiting() > 0) {
            startTakeOver();
        }
        announce();
    }

    private void startTakeOver() {
        takeOver = timer.after(settings.takeOverMargin())
                .andThen(confirmations.confirm())
                .subscribe(() -> {
                    if (confirmations.confirmed()) {
                        LOGGER.atInfo().log("event=taken_over vm=%s partitions=%d", voter.vm(), slots.waiting());
                        metrics.takeOver();
                        slots.takeUpAll();
                        announce();
                    }
                });
    }

    private void tick() {
        final long now = timer.nanoTime();
        final long period = settings.promiseFor().toNanos() / PROMISE_ROUNDS;
        if (!closed && now - lastPromiseRoundNanos >= period && slots.needPromises(this::surelyProtects)) {
            lastPromiseRoundNanos = now;
            metrics.promiseRound();
            confirmations.askForPromises();
        }
        if (scan.out(self.id(), self.failureDomain())) {
            release.once().onErrorComplete().subscribe();
        }
        announce();
    }

    private ConfirmAnswer vote(final ConfirmRequest request) throws InvalidProtocolBufferException {
        if (!request.getAssignment().isEmpty()) {
            adopted.offer(new StoredAssignment(AssignmentCodec.decode(request.getAssignment()), request.getRevision()));
        }
        final long asked = request.getVersion();
        final long known = adopted.assignment().version();
        final ConfirmAnswer.Builder answer = ConfirmAnswer.newBuilder()
                .setBoot(voter.boot())
                .setVersion(known)
                .setGranted(request.getPromise() ? promises.promise(asked) : promises.confirm(asked));
        if (asked < known) {
            final ByteString value = AssignmentCodec.encode(adopted.assignment());
            answer.setAssignment(value).setRevision(adopted.stored().revision());
        }
        return answer.build();
    }

    private Duration listPeriod() {
        final Duration scaled =
                LIST_PERIOD_PER_MEMBER.multipliedBy(scan.members().newest().size());
        return scaled.compareTo(MIN_LIST_PERIOD) < 0 ? MIN_LIST_PERIOD : scaled;
    }

    private static MemberRecord entry(final VmEntry self, final String boot) {
        return MemberRecord.newBuilder()
                .setMember(AssignmentCodec.encode(new Member(self.id(), boot, 0)))
                .setFailureDomain(self.failureDomain().value())
                .setHost(self.host())
                .setPeerPort(self.peerPort())
                .build();
    }
}
