package org.balsambank.core.partition;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.OwnershipMetrics.SwapKind;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.ConfirmRequest;

/**
 * Hands partitions of this VM over to the VMs that should own them.
 *
 * <p>Confined to the decision loop. Invariants: this VM stops acting for a partition before it exports its state; the
 * swap is written only after the next owner has received the state; this VM resumes acting only after the swap is known
 * to have failed.
 */
final class PartitionRebalancer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration NOTICE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_PERIOD = Duration.ofSeconds(5);
    private static final Duration PERIOD_PER_MEMBER = Duration.ofSeconds(1);
    private static final double MIN_JITTER_FACTOR = 0.5;
    private static final int MAX_SWAP_ATTEMPTS = 8;

    private final AdoptedAssignment adopted;
    private final AssignmentStore store;
    private final MembershipReader membershipReader;
    private final MemberLease lease;
    private final OwnedPartitions owned;
    private final HandOverExchange handOverExchange;
    private final Confirmations confirmations;
    private final OwnershipMetrics metrics;
    private final PeerTransport peers;
    private final TimerService timer;
    private final RandomGenerator random;
    private boolean inProgress;
    private boolean stopping;

    /**
     * Creates the rebalancer.
     *
     * @param adopted the adopted assignment
     * @param store the store of the assignment
     * @param membershipReader the reader of the membership
     * @param lease the lease and registration of this VM
     * @param owned the partitions that this VM owns
     * @param handOverExchange sends the state of the partitions
     * @param confirmations the confirmations of the voters
     * @param metrics the metrics
     * @param ports the external dependencies
     */
    PartitionRebalancer(
            final AdoptedAssignment adopted,
            final AssignmentStore store,
            final MembershipReader membershipReader,
            final MemberLease lease,
            final OwnedPartitions owned,
            final HandOverExchange handOverExchange,
            final Confirmations confirmations,
            final OwnershipMetrics metrics,
            final OwnershipPorts ports) {
        this.adopted = adopted;
        this.store = store;
        this.membershipReader = membershipReader;
        this.lease = lease;
        this.owned = owned;
        this.handOverExchange = handOverExchange;
        this.confirmations = confirmations;
        this.metrics = metrics;
        this.peers = ports.peers();
        this.timer = ports.timer();
        this.random = ports.random();
    }

    /**
     * Rebalances periodically until the subscription is disposed.
     *
     * @return never completes
     */
    Completable run() {
        return Completable.defer(() -> timer.after(nextInterval()).andThen(rebalanceOnce()))
                .onErrorComplete()
                .repeat();
    }

    /** Marks this VM as stopping, so that it should own nothing. */
    void stop() {
        stopping = true;
    }

    /**
     * Returns whether this VM is stopping.
     *
     * @return true after {@link #stop}
     */
    boolean stopping() {
        return stopping;
    }

    /**
     * Hands over the partitions that other VMs should own.
     *
     * @return completes when the handover has ended, whether or not its swap succeeded; at once if there is nothing to
     *     do
     */
    Completable rebalanceOnce() {
        return Completable.defer(() -> {
            final Map<PartitionId, Member> moves = moves();
            if (inProgress || moves.isEmpty() || lease.renewalOverdue()) {
                return Completable.complete();
            }
            inProgress = true;
            final Set<PartitionId> released = Set.copyOf(moves.keySet());
            owned.release(released);
            return send(moves)
                    .flatMapCompletable(sent -> swap(sent, MAX_SWAP_ATTEMPTS))
                    .doFinally(() -> {
                        inProgress = false;
                        owned.endRelease(released);
                        owned.emitChanges();
                    });
        });
    }

    /**
     * Returns the partitions that other VMs should own.
     *
     * @return the next owner of each partition that this VM holds and should not own
     */
    Map<PartitionId, Member> moves() {
        final Membership members =
                stopping ? without(membershipReader.members(), lease.member().vm()) : membershipReader.members();
        final Map<PartitionId, Member> moves =
                new TreeMap<>(AssignmentPlanner.handOverCandidates(adopted.assignment(), members, lease.member()));
        moves.keySet().removeIf(partition -> owned.heldEpoch(partition).isEmpty());
        return moves;
    }

    private Single<Map<PartitionId, Member>> send(final Map<PartitionId, Member> moves) {
        return Flowable.fromIterable(moves.entrySet())
                .flatMapMaybe(move -> handOverExchange
                        .send(move.getValue().vm(), move.getKey(), nextEpoch(move.getKey()))
                        .andThen(Maybe.just(move))
                        .onErrorComplete())
                .toMap(Map.Entry::getKey, Map.Entry::getValue, TreeMap::new);
    }

    private Completable swap(final Map<PartitionId, Member> sent, final int attempts) {
        final Assignment current = adopted.assignment();
        final Map<PartitionId, Member> moves = new TreeMap<>(sent);
        moves.keySet()
                .removeIf(partition ->
                        !current.partitions().get(partition.value()).ownedBy(lease.member()));
        if (moves.isEmpty() || attempts == 0) {
            return Completable.complete();
        }
        final Assignment next =
                AssignmentPlanner.handOver(current, moves, confirmations.confirmed(), adopted.nextWriteId());
        return store.swap(adopted.stored(), next).flatMapCompletable(result -> {
            metrics.recordSwap(SwapKind.HAND_OVER, result.won());
            adopted.adoptIfNewer(result.current());
            if (!result.won()) {
                return swap(moves, attempts - 1);
            }
            metrics.recordHandOver(moves.size());
            LOGGER.atInfo().log("event=handed_over version=%d partitions=%d", next.version(), moves.size());
            notifyOwners(moves, result.current());
            return Completable.complete();
        });
    }

    private void notifyOwners(final Map<PartitionId, Member> moves, final StoredAssignment stored) {
        final ConfirmRequest notice = ConfirmRequest.newBuilder()
                .setVersion(stored.assignment().version())
                .setAssignment(AssignmentCodec.encode(stored.assignment()))
                .setRevision(stored.revision())
                .build();
        final Set<VmId> owners = moves.values().stream().map(Member::vm).collect(Collectors.toSet());
        owners.forEach(owner -> peers.call(owner, OwnershipMethods.CONFIRM, notice, NOTICE_TIMEOUT)
                .subscribe(ignored -> {}, ignored -> {}));
    }

    private Epoch nextEpoch(final PartitionId partition) {
        return new Epoch(
                adopted.assignment().partitions().get(partition.value()).epoch().value() + 1);
    }

    private Duration nextInterval() {
        final Duration perMember = PERIOD_PER_MEMBER.multipliedBy(
                membershipReader.members().newest().size());
        final Duration mean = perMember.compareTo(MIN_PERIOD) < 0 ? MIN_PERIOD : perMember;
        final double factor = MIN_JITTER_FACTOR + random.nextDouble();
        return Duration.ofNanos((long) (mean.toNanos() * factor));
    }

    private static Membership without(final Membership members, final VmId vm) {
        final Set<VmId> eligible = new HashSet<>(members.eligible());
        eligible.remove(vm);
        return new Membership(members.revision(), members.live(), members.newest(), eligible);
    }
}
