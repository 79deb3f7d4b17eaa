package org.balsambank.core.target;

import java.time.Duration;
import java.util.Objects;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.partition.OwnershipChange;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.supervise.Component;
import org.balsambank.protocol.generated.target.LoadSlotGrant;
import org.balsambank.protocol.generated.target.LoadSlotRequest;

/**
 * Lends the fleet's load slots to other VMs while this VM owns the partition of the load slots.
 *
 * <p>Invariants: a slot is lent only while this VM owns the partition; after this VM gains the partition, lending is
 * paused so that loads in flight can be adopted first; a slot is released when its call ends. Confined to the decision
 * loop.
 */
public final class LoadSlotLender implements Component {
    private static final String SUBJECT = "load slots";
    private static final Duration ADOPTION_PERIOD = Duration.ofSeconds(1);

    private final Ownership ownership;
    private final LocalLoadSlots slots;
    private final PartitionId partition;

    /**
     * Creates a lender.
     *
     * @param ownership determines whether this VM is the lender
     * @param slots the slots of the fleet
     */
    public LoadSlotLender(final Ownership ownership, final LocalLoadSlots slots) {
        this.ownership = Objects.requireNonNull(ownership);
        this.slots = Objects.requireNonNull(slots);
        this.partition = partition(ownership);
    }

    /**
     * Returns the partition whose owner lends the load slots.
     *
     * @param ownership maps ids to partitions
     * @return the partition
     */
    static PartitionId partition(final Ownership ownership) {
        return ownership.partitionOf(SubjectKind.TARGET, SUBJECT);
    }

    /**
     * Registers the handler for calls from borrowers.
     *
     * @param peers the peer transport
     */
    public void register(final PeerTransport peers) {
        peers.serve(TargetMethods.LOAD_SLOT, (from, request) -> lend(request));
    }

    @Override
    public String name() {
        return "load-slot-lender";
    }

    @Override
    public Completable run() {
        return changes(OwnershipChange.Kind.GAINED)
                .doOnNext(change -> slots.pause(ADOPTION_PERIOD))
                .ignoreElements();
    }

    private Flowable<LoadSlotGrant> lend(final LoadSlotRequest request) {
        final Flowable<LoadSlotGrant> ownershipLost =
                changes(OwnershipChange.Kind.LOST).flatMap(change -> notOwner());
        return Flowable.defer(() -> {
                    if (!owned()) {
                        return notOwner();
                    }
                    if (request.getUnderWay()) {
                        return lent(slots.adopt());
                    }
                    return slots.acquire(TrafficClass.valueOf(request.getTrafficClass()))
                            .flatMapPublisher(this::lentIfOwned);
                })
                .mergeWith(ownershipLost);
    }

    private Flowable<LoadSlotGrant> lentIfOwned(final LoadSlot slot) {
        if (owned()) {
            return lent(slot);
        }
        slot.release();
        return notOwner();
    }

    private static Flowable<LoadSlotGrant> lent(final LoadSlot slot) {
        return Flowable.just(LoadSlotGrant.getDefaultInstance())
                .concatWith(Flowable.never())
                .doOnCancel(slot::release);
    }

    private boolean owned() {
        return ownership.heldEpoch(partition).isPresent();
    }

    private Flowable<OwnershipChange> changes(final OwnershipChange.Kind kind) {
        return ownership.changes().filter(change -> change.partition().equals(partition) && change.kind() == kind);
    }

    private static Flowable<LoadSlotGrant> notOwner() {
        return Flowable.error(new BalsambankException(ErrorKind.NO_OWNER, "this VM lends no load slots"));
    }
}
