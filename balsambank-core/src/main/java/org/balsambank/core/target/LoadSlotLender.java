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
 * Lends the load slots of the fleet while this VM owns the partition that they belong to.
 *
 * <p>Invariants: a slot is lent only while this VM holds the partition, and after a gain only when loads under way
 * had time to be adopted; a slot comes back when its call ends. Confined to the decision loop.
 */
public final class LoadSlotLender implements Component {
    private static final String SUBJECT = "load slots";
    private static final Duration ADOPTION_TIME = Duration.ofSeconds(1);

    private final Ownership ownership;
    private final LocalLoadSlots slots;
    private final PartitionId partition;

    /**
     * Creates a lender.
     *
     * @param ownership tells whether this VM lends
     * @param slots the slots of the fleet
     */
    public LoadSlotLender(final Ownership ownership, final LocalLoadSlots slots) {
        this.ownership = Objects.requireNonNull(ownership);
        this.slots = Objects.requireNonNull(slots);
        this.partition = partition(ownership);
    }

    /**
     * Returns the partition whose owner lends.
     *
     * @param ownership knows the partitions
     * @return the partition
     */
    static PartitionId partition(final Ownership ownership) {
        return ownership.partitionOf(SubjectKind.TARGET, SUBJECT);
    }

    /**
     * Answers the calls of borrowers.
     *
     * @param peers the links
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
                .doOnNext(change -> slots.pause(ADOPTION_TIME))
                .ignoreElements();
    }

    private Flowable<LoadSlotGrant> lend(final LoadSlotRequest request) {
        final Flowable<LoadSlotGrant> lost = changes(OwnershipChange.Kind.LOST).flatMap(change -> notOwner());
        return Flowable.defer(() -> {
                    if (!held()) {
                        return notOwner();
                    }
                    if (request.getUnderWay()) {
                        return lent(slots.adopt());
                    }
                    return slots.acquire(TrafficClass.valueOf(request.getTrafficClass()))
                            .flatMapPublisher(this::lentIfHeld);
                })
                .mergeWith(lost);
    }

    private Flowable<LoadSlotGrant> lentIfHeld(final LoadSlot slot) {
        if (held()) {
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

    private boolean held() {
        return ownership.heldEpoch(partition).isPresent();
    }

    private Flowable<OwnershipChange> changes(final OwnershipChange.Kind kind) {
        return ownership.changes().filter(change -> change.partition().equals(partition) && change.kind() == kind);
    }

    private static Flowable<LoadSlotGrant> notOwner() {
        return Flowable.error(new BalsambankException(ErrorKind.NO_OWNER, "this VM lends no load slots"));
    }
}
