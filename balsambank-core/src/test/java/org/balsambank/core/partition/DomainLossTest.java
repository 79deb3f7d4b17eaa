package org.balsambank.core.partition;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the loss of a failure domain takes few swaps in a large fleet. Confined to one thread. */
final class DomainLossTest {
    private static final int VMS = 120;
    private static final int DOMAINS = 6;
    private static final int MAX_SWAPS = 5;

    private final FleetFixture fleet = new FleetFixture(OwnershipSettings.LARGE_FLEET, 17);

    @Test
    void lossOfAFailureDomainTakesAtMostFiveSwaps() {
        fleet.startAll(VMS);
        advance(Duration.ofSeconds(10));
        assertEquals(fleet.settings.partitions(), fleet.heldCount());
        advance(Duration.ofSeconds(50));
        final double swapsBefore = swaps();
        for (int i = 0; i < VMS; i += DOMAINS) {
            fleet.get(i).kill();
        }
        advance(Duration.ofSeconds(60));
        assertEquals(fleet.settings.partitions(), fleet.heldCount());
        final double swaps = swaps() - swapsBefore;
        assertTrue(swaps <= MAX_SWAPS, swaps + " swaps");
    }

    private double swaps() {
        return fleet.counterSum("balsambank.ownership.swaps", "kind", "REPAIR", "result", "won")
                + fleet.counterSum("balsambank.ownership.swaps", "kind", "HAND_OVER", "result", "won");
    }

    private void advance(final Duration duration) {
        fleet.clock.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS);
    }
}
