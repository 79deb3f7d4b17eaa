package org.balsambank.core.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests partition ownership in long runs with overlapping random faults. Confined to one thread. */
final class OwnershipRandomTest {
    private static final int VMS = 5;
    private static final int PARTITIONS = 16;
    private static final Duration FAULTS = Duration.ofMinutes(15);
    private static final Duration RECOVERY = Duration.ofMinutes(2);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void partitionsNeverHaveTwoOwnersAndAllAreOwnedAfterTheFaults(final long seed) {
        final FleetFixture fleet = new FleetFixture(FleetFixture.settings(PARTITIONS), seed);
        final Faults faults = new Faults(fleet, seed);
        fleet.startAll(VMS);
        for (long second = 0; second < FAULTS.toSeconds(); second++) {
            faults.tick(second);
            fleet.run(Duration.ofSeconds(1));
        }
        faults.end();
        assertTrue(fleet.runUntilOwned(RECOVERY).isPresent(), "owned " + fleet.heldCount());
        assertEquals(List.of(), fleet.violations);
        assertEquals(List.of(), fleet.invariants.violations());
    }

    /** Starts faults at random and ends each after a random time. */
    private static final class Faults {
        private static final double STARTS_PER_SECOND = 0.25;
        private static final int MAX_SECONDS = 25;

        private final FleetFixture fleet;
        private final Random random;
        private final Map<Long, List<Runnable>> ends = new TreeMap<>();

        private Faults(final FleetFixture fleet, final long seed) {
            this.fleet = fleet;
            random = new Random(~seed);
            fleet.service.answerLossRate(0.05);
            fleet.network.messageLossRate(0.02);
        }

        private void tick(final long second) {
            ends.getOrDefault(second, List.of()).forEach(Runnable::run);
            ends.remove(second);
            if (random.nextDouble() < STARTS_PER_SECOND) {
                start(second + 1 + random.nextInt(MAX_SECONDS));
            }
        }

        private void end() {
            ends.values().forEach(list -> list.forEach(Runnable::run));
            fleet.service.answerLossRate(0);
            fleet.network.messageLossRate(0);
        }

        private void start(final long end) {
            final int number = random.nextInt(VMS);
            final FleetFixture.Vm vm = fleet.get(number);
            switch (random.nextInt(7)) {
                case 0 -> pause(vm, end);
                case 1 -> kill(number, end);
                case 2 ->
                    between(end, () -> fleet.service.cutOff(vm.id(), true), () -> fleet.service.cutOff(vm.id(), false));
                case 3 ->
                    between(end, () -> fleet.network.cutOff(vm.id(), true), () -> fleet.network.cutOff(vm.id(), false));
                case 4 -> between(end, () -> fleet.service.setOutage(true), () -> fleet.service.setOutage(false));
                case 5 -> stop(number, end);
                default -> cutPair(number, random.nextInt(VMS), end);
            }
        }

        private void pause(final FleetFixture.Vm vm, final long end) {
            between(end, vm.loop::pause, vm.loop::resume);
        }

        private void kill(final int number, final long end) {
            between(end, fleet.get(number)::kill, () -> restart(number));
        }

        private void stop(final int number, final long end) {
            between(end, fleet.get(number)::stop, () -> {
                fleet.get(number).kill();
                restart(number);
            });
        }

        private void cutPair(final int a, final int b, final long end) {
            if (a != b) {
                between(
                        end,
                        () -> fleet.network.cut(FleetFixture.vm(a), FleetFixture.vm(b), true),
                        () -> fleet.network.cut(FleetFixture.vm(a), FleetFixture.vm(b), false));
            }
        }

        private void restart(final int number) {
            if (fleet.get(number).loop.killed()) {
                fleet.start(number);
            }
        }

        private void between(final long end, final Runnable start, final Runnable stop) {
            start.run();
            ends.merge(end, List.of(stop), (a, b) -> {
                final List<Runnable> both = new ArrayList<>(a);
                both.addAll(b);
                return both;
            });
        }
    }
}
