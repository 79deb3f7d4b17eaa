package org.balsambank.daemon;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.port.VmList;
import org.balsambank.peer.PeerAddresses;

/**
 * Reads the VM list and keeps the last known VMs and their addresses.
 *
 * <p>Confined to the decision loop.
 */
final class VmDirectory implements VmList {
    private final VmEntry self;
    private final VmList source;
    private final PeerAddresses addresses;
    private List<VmEntry> entries;

    /**
     * Creates a directory that contains only this VM.
     *
     * @param self this VM
     * @param source the VM list of the platform
     * @param addresses updated with the addresses of the VMs
     */
    VmDirectory(final VmEntry self, final VmList source, final PeerAddresses addresses) {
        this.self = Objects.requireNonNull(self);
        this.source = Objects.requireNonNull(source);
        this.addresses = Objects.requireNonNull(addresses);
        this.entries = List.of(self);
    }

    @Override
    public Single<List<VmEntry>> list() {
        return source.list().doOnSuccess(this::update);
    }

    /**
     * Returns the live VMs, this one first. Leases take precedence over the VM list, which lags behind.
     *
     * @param members the VMs with a valid lease, empty if not known yet
     * @return this VM and the members, or the listed VMs if no member is known
     */
    List<VmEntry> alive(final List<VmEntry> members) {
        if (members.isEmpty()) {
            return entries;
        }
        addresses.update(members);
        final Stream<VmEntry> others =
                members.stream().filter(entry -> !entry.id().equals(self.id()));
        return Stream.concat(Stream.of(self), others).toList();
    }

    private void update(final List<VmEntry> listed) {
        addresses.update(listed);
        final Stream<VmEntry> others =
                listed.stream().filter(entry -> !entry.id().equals(self.id()));
        entries = Stream.concat(Stream.of(self), others).toList();
    }
}
