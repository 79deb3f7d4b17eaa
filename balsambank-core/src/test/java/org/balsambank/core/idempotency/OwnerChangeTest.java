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

/** Tests records whose owner changes or whose writes have no answer. Confined to one thread. */
final class OwnerChangeTest {
    private static final Duration FAST = Duration.ofMillis(1);
    private static final Duration SLOW = Duration.ofMillis(500);

    private final RecordKeepers keepers = new RecordKeepers(IdempotencySettings.DEFAULT);

    @Test
    void writeOfEarlierOwnerThatLandsAfterNextOwnerHasReadIsFound() {
        beginOther(1);
        keepers.advance(10_000);
        keepers.service.delay(SLOW, SLOW);
        final TestObserver<IdempotencyDecision> first = begin(1);
        keepers.advance(20);
        keepers.service.delay(FAST, FAST);
        keepers.move(2);
        final TestObserver<IdempotencyDecision> opens = beginOther(2);
        keepers.advance(300);
        opens.assertValue(IdempotencyDecision.Running.class::isInstance);
        first.assertNotComplete();
        keepers.advance(300);
        final TestObserver<IdempotencyDecision> second = begin(0);
        keepers.advance(10_000);
        assertEquals(1, runs(first, second));
    }

    @Test
    void writeOfEarlierOwnerThatLandsAfterNextOwnerHasWrittenFails() {
        keepers.service.delay(SLOW, SLOW);
        final TestObserver<IdempotencyDecision> first = begin(1);
        keepers.advance(20);
        keepers.service.delay(FAST, FAST);
        keepers.move(2);
        final TestObserver<IdempotencyDecision> second = begin(0);
        keepers.advance(10_000);
        assertEquals(1, runs(first, second));
    }

    @Test
    void callThatWasRefusedForLostAnswersMayRunOnRepeat() {
        keepers.service.answerLossRate(1);
        final TestObserver<IdempotencyDecision> refused = begin(1);
        keepers.advance(6_000);
        refused.assertError(error -> ((BalsambankException) error).kind() == ErrorKind.IDEMPOTENCY_UNAVAILABLE);
        keepers.service.answerLossRate(0);
        keepers.advance(10_000);
        final TestObserver<IdempotencyDecision> repeat = begin(2);
        keepers.advance(10_000);
        assertInstanceOf(IdempotencyDecision.Run.class, repeat.values().get(0));
    }

    @Test
    void ownerWhoseLeaseLapsedGoesOnInTheSameEpoch() {
        final RecordKeepers small = new RecordKeepers(
                new IdempotencySettings(1, FAST, Duration.ofHours(1), Duration.ofMinutes(1), 1_000, 64));
        for (int i = 0; i < 6; i++) {
            final TestObserver<IdempotencyDecision> decision = small.gates
                    .get(1)
                    .begin(new TeamId("team"), new IdempotencyKey("key-" + i), new Fingerprint("body"))
                    .test();
            small.advance(10_000);
            decision.assertValueCount(1);
            small.lapse();
        }
    }

    @Test
    void callIsRefusedWhileServiceIsOut() {
        keepers.service.setOutage(true);
        final TestObserver<IdempotencyDecision> refused = begin(1);
        keepers.advance(6_000);
        refused.assertError(error -> ((BalsambankException) error).kind() == ErrorKind.IDEMPOTENCY_UNAVAILABLE);
    }

    private TestObserver<IdempotencyDecision> begin(final int vm) {
        return begin(vm, "key");
    }

    private TestObserver<IdempotencyDecision> beginOther(final int vm) {
        final ShardMap shards = new ShardMap(keepers.view(), IdempotencySettings.DEFAULT.shards());
        final int shard = shards.shardOf(new TeamId("team"), new IdempotencyKey("key"));
        final String other = Stream.iterate(0, i -> i + 1)
                .map(i -> "other-" + i)
                .filter(key -> shards.shardOf(new TeamId("team"), new IdempotencyKey(key)) == shard)
                .findFirst()
                .orElseThrow();
        return begin(vm, other);
    }

    private TestObserver<IdempotencyDecision> begin(final int vm, final String key) {
        return keepers.gates
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
