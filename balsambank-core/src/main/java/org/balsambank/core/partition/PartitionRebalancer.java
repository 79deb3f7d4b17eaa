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
 * Hands partitions over that another VM ought to have.
 *
 * <p>Confined to the decision loop. Invariants: this VM stops to act for a partition before it exports its state; the
 * swap is written only after the next owner has the state; this VM acts again only if the swap surely failed.
 */
final class PartitionRebalancer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration NOTICE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_PERIOD = Duration.ofSeconds(5);
    private static final Duration PERIOD_PER_MEMBER = Duration.ofSeconds(1);
    private static final double MIN_SPREAD = 0.5;
    private static final int MAX_SWAPS = 8;

    private final AdoptedAssignment adopted;
    private final AssignmentStore store;
    private final MembershipReader scan;
    private final MemberLease lease;
    private final OwnedPartitions slots;
    private final HandOverExchange handOvers;
    private final Confirmations confirmations;
    private final OwnershipMetrics metrics;
    private final PeerTransport peers;
    private final TimerService timer;
    private final RandomGenerator random;
    private boolean busy;
    private boolean stopping;

    /**
     * Creates the release.
     *
     * @param adopted the assignment
     * @param store keeps it
     * @param scan reads the members
     * @param lease this VM's registration
     * @param slots the partitions of this VM
     * @param handOvers passes their state on
     * @param confirmations what the voters say
     * @param metrics counts swaps
     * @param ports the outside
     */
    PartitionRebalancer(
            final AdoptedAssignment adopted,
            final AssignmentStore store,
            final MembershipReader scan,
            final MemberLease lease,
            final OwnedPartitions slots,
            final HandOverExchange handOvers,
            final Confirmations confirmations,
            final OwnershipMetrics metrics,
            final OwnershipPorts ports) {
        this.adopted = adopted;
        this.store = store;
        this.scan = scan;
        this.lease = lease;
        this.slots = slots;
        this.handOvers = handOvers;
        this.confirmations = confirmations;
        this.metrics = metrics;
        this.peers = ports.peers();
        this.timer = ports.timer();
        this.random = ports.random();
    }

    /**
     * Evens the load out until the subscription is disposed.
     *
     * @return never completes
     */
    Completable run() {
        return Completable.defer(() -> timer.after(nextRound()).andThen(once()))
                .onErrorComplete()
                .repeat();
    }

    /** From now on this VM ought to have nothing. */
    void stop() {
        stopping = true;
    }

    /**
     * Tells whether this VM is stopping.
     *
     * @return true after {@link #stop}
     */
    boolean stopping() {
        return stopping;
    }

    /**
     * Hands over what others ought to have.
     *
     * @return completes when nothing is being released any more
     */
    Completable once() {
        return Completable.defer(() -> {
            final Map<PartitionId, Member> moves = moves();
            if (busy || moves.isEmpty() || lease.overdue()) {
                return Completable.complete();
            }
            busy = true;
            final Set<PartitionId> released = Set.copyOf(moves.keySet());
            slots.release(released);
            return send(moves).flatMapCompletable(sent -> swap(sent, MAX_SWAPS)).doFinally(() -> {
                busy = false;
                slots.keep(released);
                slots.announce();
            });
        });
    }

    /**
     * Returns what others ought to have.
     *
     * @return the next owner of each partition that this VM holds and ought not to
     */
    Map<PartitionId, Member> moves() {
        final Membership members =
                stopping ? without(scan.members(), lease.member().vm()) : scan.members();
        final Map<PartitionId, Member> moves =
                new TreeMap<>(AssignmentPlanner.excess(adopted.assignment(), members, lease.member()));
        moves.keySet().removeIf(partition -> slots.heldEpoch(partition).isEmpty());
        return moves;
    }

    private Single<Map<PartitionId, Member>> send(final Map<PartitionId, Member> moves) {
        return Flowable.fromIterable(moves.entrySet())
                .flatMapMaybe(move -> handOvers
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
            metrics.swap(SwapKind.HAND_OVER, result.won());
            adopted.offer(result.current());
            if (!result.won()) {
                return swap(moves, attempts - 1);
            }
            metrics.handedOver(moves.size());
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

    private Duration nextRound() {
        final Duration perMember =
                PERIOD_PER_MEMBER.multipliedBy(scan.members().newest().size());
        final Duration mean = perMember.compareTo(MIN_PERIOD) < 0 ? MIN_PERIOD : perMember;
        final double spread = MIN_SPREAD + random.nextDouble();
        return Duration.ofNanos((long) (mean.toNanos() * spread));
    }

    private static Membership without(final Membership members, final VmId vm) {
        final Set<VmId> eligible = new HashSet<>(members.eligible());
        eligible.remove(vm);
        return new Membership(members.revision(), members.live(), members.newest(), eligible);
    }
}
