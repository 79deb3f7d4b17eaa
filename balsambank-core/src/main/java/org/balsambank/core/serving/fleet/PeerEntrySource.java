package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.StoreEra;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.replica.EntrySource;
import org.balsambank.protocol.generated.serving.EntriesAnswer;
import org.balsambank.protocol.generated.serving.EntriesAsk;

/**
 * Fetches entries of the key-value service from other VMs, and serves them to VMs that cannot read it.
 *
 * <p>Confined to the decision loop.
 */
public final class PeerEntrySource implements EntrySource {
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final PeerTransport peers;
    private final FleetMembers members;
    private final EntryReplica replica;
    private final StoreEra era;
    private final RandomGenerator random;

    /**
     * Creates the source and serves the requests of other VMs.
     *
     * @param peers the transport to the other VMs
     * @param members the registered VMs
     * @param replica the entries that this VM knows
     * @param era the newest known era of the key-value service
     * @param random chooses the VM to fetch from
     */
    public PeerEntrySource(
            final PeerTransport peers,
            final FleetMembers members,
            final EntryReplica replica,
            final StoreEra era,
            final RandomGenerator random) {
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.replica = Objects.requireNonNull(replica);
        this.era = Objects.requireNonNull(era);
        this.random = Objects.requireNonNull(random);
        peers.serve(FleetMethods.ENTRIES, (from, request) -> Flowable.fromCallable(() -> serve(request)));
    }

    @Override
    public Single<List<KeyValueChange>> changesAfter(final long after) {
        return Single.defer(() -> {
            final List<VmEntry> others = new ArrayList<>(members.others());
            if (others.isEmpty()) {
                return Single.error(new PeerException(PeerException.Reason.NOT_SENT, "no other VM is known"));
            }
            final VmEntry chosen = others.get(random.nextInt(others.size()));
            final EntriesAsk request = EntriesAsk.newBuilder().setAfter(after).build();
            return peers.call(chosen.id(), FleetMethods.ENTRIES, request, TIMEOUT)
                    .map(response -> {
                        era.reached(response.getCopyEnd());
                        era.reached(response.getRevision());
                        return DigestCodec.changes(response.getEntriesList());
                    });
        });
    }

    private EntriesAnswer serve(final EntriesAsk request) {
        final EntriesAnswer.Builder response =
                EntriesAnswer.newBuilder().setRevision(replica.revision()).setCopyEnd(era.copyEnd());
        replica.changesAfter(request.getAfter()).forEach(change -> response.addEntries(DigestCodec.entry(change)));
        return response.build();
    }
}
