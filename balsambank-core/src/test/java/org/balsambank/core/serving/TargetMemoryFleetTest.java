package org.balsambank.core.serving;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a fleet whose targets hold fewer adapters than they have slots, in virtual time. Confined to one thread. */
final class TargetMemoryFleetTest {
    private static final int VMS = 3;
    private static final int TARGETS = 2;
    private static final int ADAPTERS = 12;
    private static final int REQUESTS = 240;
    private static final long RATE = 1_000_000;
    private static final int KILL_AT = REQUESTS / 2;
    /** Four fit into the 100 MB of a target. */
    private static final double LARGE_ADAPTER_MEGABYTES = 24;

    private static final double TOO_LARGE_ADAPTER_MEGABYTES = 101;

    private final TestFleet fleet = new TestFleet(VMS, TARGETS);
    private int served;

    @BeforeEach
    void writePlan() {
        writePlan(2, LARGE_ADAPTER_MEGABYTES);
    }

    private void writePlan(final long version, final double adapterMegabytes) {
        fleet.setAdapterMegabytes(adapterMegabytes);
        fleet.writePlan(version, List.of(TestFleet.KEY), RATE);
        fleet.advance(1_000);
    }

    private FakeCaller stream(final int vm, final int adapter) {
        return fleet.sendRequest(TestFleet.vm(vm), "/stream/", Optional.of(TestFleet.adapter(adapter)), 100);
    }

    // Guards against LIMIT: a crowd for more adapters than fit makes targets crash, also after a holder is killed.
    @Test
    void noTargetIsOrderedToLoadMoreThanItsMemoryHolds() {
        for (int i = 0; i < REQUESTS; i++) {
            if (i == KILL_AT) {
                fleet.kill(TestFleet.vm(0));
                fleet.advance(8_000);
            }
            final int before = fleet.attempts.size();
            stream(i < KILL_AT ? i % VMS : 1 + i % (VMS - 1), i % ADAPTERS);
            fleet.advance(600);
            if (fleet.attempts.size() > before) {
                fleet.lastAttempt().respond(200, false);
                served++;
            }
        }
        fleet.targets.values().forEach(target -> assertEquals(0, target.overflows()));
        assertTrue(served >= 0.9 * REQUESTS, served + " of " + REQUESTS);
    }

    // Guards against requests that wait for an adapter which no target can hold, until their time is over.
    @Test
    void requestForAnAdapterThatFitsNowhereIsRejectedAtOnce() {
        writePlan(3, TOO_LARGE_ADAPTER_MEGABYTES);
        assertEquals(ErrorKind.NO_TARGET, stream(1, ADAPTERS).rejection());
        fleet.targets.values().forEach(target -> assertEquals(0, target.overflows()));
    }
}
