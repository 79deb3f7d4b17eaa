package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests records whose shard changes its owner, and writes whose responses are lost. Confined to one thread. */
final class OwnerChangeTest {
    private static final Duration FAST = Duration.ofMillis(1);
    private static final Duration SLOW = Duration.ofMillis(500);

    private final IdempotencyFleet fleet = new IdempotencyFleet(IdempotencySettings.DEFAULT);

    @Test
    void writeOfEarlierOwnerThatArrivesAfterNextOwnerHasReadIsFound() {
        beginOther(1);
        fleet.advance(10_000);
        fleet.service.delay(SLOW, SLOW);
        final TestObserver<IdempotencyDecision> first = begin(1);
        fleet.advance(20);
        fleet.service.delay(FAST, FAST);
        fleet.moveShards(2);
        final TestObserver<IdempotencyDecision> opens = beginOther(2);
        fleet.advance(300);
        opens.assertValue(IdempotencyDecision.Running.class::isInstance);
        first.assertNotComplete();
        fleet.advance(300);
        final TestObserver<IdempotencyDecision> second = begin(0);
        fleet.advance(10_000);
        assertEquals(1, runs(first, second));
    }

    @Test
    void writeOfEarlierOwnerThatArrivesAfterNextOwnerHasWrittenFails() {
        fleet.service.delay(SLOW, SLOW);
        final TestObserver<IdempotencyDecision> first = begin(1);
        fleet.advance(20);
        fleet.service.delay(FAST, FAST);
        fleet.moveShards(2);
        final TestObserver<IdempotencyDecision> second = begin(0);
        fleet.advance(10_000);
        assertEquals(1, runs(first, second));
    }

    @Test
    void callThatWasRefusedForLostResponsesMayRunOnRetry() {
        fleet.service.answerLossRate(1);
        final TestObserver<IdempotencyDecision> refused = begin(1);
        fleet.advance(6_000);
        refused.assertError(error -> ((BalsambankException) error).kind() == ErrorKind.IDEMPOTENCY_UNAVAILABLE);
        fleet.service.answerLossRate(0);
        fleet.advance(10_000);
        final TestObserver<IdempotencyDecision> retry = begin(2);
        fleet.advance(10_000);
        assertInstanceOf(IdempotencyDecision.Run.class, retry.values().get(0));
    }

    @Test
    void ownerResumesInTheSameEpochAfterItsLeaseLapsed() {
        final IdempotencyFleet small = new IdempotencyFleet(
                new IdempotencySettings(1, FAST, Duration.ofHours(1), Duration.ofMinutes(1), 1_000, 64));
        for (int i = 0; i < 6; i++) {
            final TestObserver<IdempotencyDecision> decision = small.gates
                    .get(1)
                    .begin(new TeamId("team"), new IdempotencyKey("key-" + i), new Fingerprint("body"))
                    .test();
            small.advance(10_000);
            decision.assertValueCount(1);
            small.lapseLease();
        }
    }

    @Test
    void callIsRefusedDuringAServiceOutage() {
        fleet.service.setOutage(true);
        final TestObserver<IdempotencyDecision> refused = begin(1);
        fleet.advance(6_000);
        refused.assertError(error -> ((BalsambankException) error).kind() == ErrorKind.IDEMPOTENCY_UNAVAILABLE);
    }

    private TestObserver<IdempotencyDecision> begin(final int vm) {
        return begin(vm, "key");
    }

    private TestObserver<IdempotencyDecision> beginOther(final int vm) {
        final ShardMap shards = new ShardMap(fleet.view(), IdempotencySettings.DEFAULT.shards());
        final int shard = shards.shardOf(new TeamId("team"), new IdempotencyKey("key"));
        final String other = Stream.iterate(0, i -> i + 1)
                .map(i -> "other-" + i)
                .filter(key -> shards.shardOf(new TeamId("team"), new IdempotencyKey(key)) == shard)
                .findFirst()
                .orElseThrow();
        return begin(vm, other);
    }

    private TestObserver<IdempotencyDecision> begin(final int vm, final String key) {
        return fleet.gates
                .get(vm)
                .begin(new TeamId("team"), new IdempotencyKey(key), new Fingerprint("body"))
                .test();
    }

    private static long runs(
            final TestObserver<IdempotencyDecision> first, final TestObserver<IdempotencyDecision> second) {
        return Stream.of(first.values(), second.values())
                .flatMap(List::stream)
                .filter(IdempotencyDecision.Run.class::isInstance)
                .count();
    }
}
