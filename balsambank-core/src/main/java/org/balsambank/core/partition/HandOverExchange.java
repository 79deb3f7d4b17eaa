package org.balsambank.core.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.protocol.generated.ownership.HandOverAnswer;
import org.balsambank.protocol.generated.ownership.HandOverRequest;
import org.balsambank.protocol.generated.ownership.NamedState;

/**
 * Sends the state of partitions to their next owners and receives it from earlier owners.
 *
 * <p>Confined to the decision loop. Invariant: state is imported only in the epoch that it was sent for.
 */
final class HandOverExchange {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final PeerTransport peers;
    private final List<HandOverParticipant> participants = new ArrayList<>();
    private final Map<PartitionId, HandOverRequest> received = new HashMap<>();

    /**
     * Creates the exchange and registers its peer method.
     *
     * @param peers the connections to the other VMs
     * @param accepting whether this VM accepts partitions
     */
    HandOverExchange(final PeerTransport peers, final BooleanSupplier accepting) {
        this.peers = peers;
        peers.serve(
                OwnershipMethods.HAND_OVER,
                (from, request) -> Flowable.fromCallable(() -> {
                    final boolean accepted = accepting.getAsBoolean();
                    if (accepted) {
                        received.put(new PartitionId(request.getPartition()), request);
                    }
                    return HandOverAnswer.newBuilder().setAccepted(accepted).build();
                }));
    }

    /**
     * Adds a component whose state is sent along.
     *
     * @param participant the component
     */
    void add(final HandOverParticipant participant) {
        participants.add(participant);
    }

    /**
     * Sends the state of a partition after this VM has stopped acting as its owner.
     *
     * @param to the next owner
     * @param partition the partition that is handed over
     * @param epoch the epoch of the next owner
     * @return completes when the next owner has received the state; fails with a {@link PeerException}
     */
    Completable send(final VmId to, final PartitionId partition, final Epoch epoch) {
        return Completable.defer(() -> {
            final HandOverRequest.Builder request =
                    HandOverRequest.newBuilder().setPartition(partition.value()).setEpoch(epoch.value());
            participants.forEach(participant -> request.addStates(
                    NamedState.newBuilder().setName(participant.name()).setState(participant.exportState(partition))));
            return peers.call(to, OwnershipMethods.HAND_OVER, request.build(), CALL_TIMEOUT)
                    .flatMapCompletable(response -> response.getAccepted()
                            ? Completable.complete()
                            : Completable.error(
                                    new PeerException(Reason.NOT_SENT, to + " does not accept partitions")));
        });
    }

    /**
     * Imports the received state of a partition that this VM is about to gain.
     *
     * @param partition the partition that was handed over
     * @param epoch the epoch of this VM
     */
    void importState(final PartitionId partition, final Epoch epoch) {
        final HandOverRequest request = received.remove(partition);
        if (request == null || request.getEpoch() != epoch.value()) {
            return;
        }
        final Map<String, NamedState> states = new HashMap<>();
        request.getStatesList().forEach(state -> states.put(state.getName(), state));
        for (final HandOverParticipant participant : participants) {
            final NamedState state = states.get(participant.name());
            if (state != null) {
                participant.importState(partition, epoch, state.getState());
            }
        }
    }
}
