package org.balsambank.daemon;

import java.net.InetSocketAddress;
import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.VmEntry;
import org.balsambank.peer.PeerAddresses;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests how the live VMs are derived from the VM list and the leases. Confined to one thread. */
final class VmDirectoryTest {
    private static final VmEntry SELF = entry("vm1");
    private static final VmEntry LISTED = entry("vm2");
    private static final VmEntry LEASED = entry("vm3");

    private final PeerAddresses addresses = new PeerAddresses();
    private final VmDirectory directory = new VmDirectory(SELF, () -> Single.just(List.of(SELF, LISTED)), addresses);

    @Test
    void usesListUntilMembersAreKnown() {
        assertEquals(List.of(SELF), directory.alive(List.of()));
        directory.list().test().assertComplete();
        assertEquals(List.of(SELF, LISTED), directory.alive(List.of()));
    }

    @Test
    void prefersLeasesToList() {
        directory.list().test().assertComplete();
        assertEquals(List.of(SELF, LEASED), directory.alive(List.of(LEASED)));
        assertEquals(
                new InetSocketAddress("127.0.0.1", 1),
                addresses.lookup(LEASED.id()).orElseThrow());
    }

    private static VmEntry entry(final String id) {
        return new VmEntry(new VmId(id), new FailureDomain("belen"), "127.0.0.1", 1, false);
    }
}
