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

/** Tests which VMs count as alive. Confined to one thread. */
final class VmDirectoryTest {
    private static final VmEntry SELF = entry("vm1");
    private static final VmEntry LISTED = entry("vm2");
    private static final VmEntry LEASED = entry("vm3");

    private final PeerAddresses addresses = new PeerAddresses();
    private final VmDirectory roster = new VmDirectory(SELF, () -> Single.just(List.of(SELF, LISTED)), addresses);

    @Test
    void countsTheListUntilMembersAreKnown() {
        assertEquals(List.of(SELF), roster.alive(List.of()));
        roster.list().test().assertComplete();
        assertEquals(List.of(SELF, LISTED), roster.alive(List.of()));
    }

    @Test
    void trustsLeasesMoreThanTheList() {
        roster.list().test().assertComplete();
        assertEquals(List.of(SELF, LEASED), roster.alive(List.of(LEASED)));
        assertEquals(
                new InetSocketAddress("127.0.0.1", 1),
                addresses.lookup(LEASED.id()).orElseThrow());
    }

    private static VmEntry entry(final String id) {
        return new VmEntry(new VmId(id), new FailureDomain("belen"), "127.0.0.1", 1, false);
    }
}
