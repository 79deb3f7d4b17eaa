package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Compares the decisions of three VMs with those of one map in memory. Confined to one thread. */
final class IdempotencyDifferentialTest {
    private static final int STEPS = 1_500;
    private static final int KEYS = 60;
    private static final TeamId TEAM = new TeamId("team");
    private static final IdempotencySettings SMALL_SEGMENTS = new IdempotencySettings(
            2, Duration.ofMillis(25), Duration.ofDays(30), Duration.ofDays(30), 100_000, 1 << 10);

    private final IdempotencyFleet fleet = new IdempotencyFleet(SMALL_SEGMENTS);
    private final NaiveIdempotencyGate naive = new NaiveIdempotencyGate();
    private final List<IdempotencyDecision.Run> running = new ArrayList<>();
    private final List<IdempotencyDecision.Run> naiveRunning = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void decidesLikeOneMapWhileShardsMoveAndResponsesAreLost(final long seed) {
        final Random random = new Random(seed);
        fleet.service.answerLossRate(0.1);
        for (int step = 0; step < STEPS; step++) {
            final PeerIdempotencyGate gate = fleet.gates.get(random.nextInt(IdempotencyFleet.VMS));
            switch (random.nextInt(8)) {
                case 0:
                    fleet.moveShards(random.nextInt(IdempotencyFleet.VMS));
                    break;
                case 1:
                case 2:
                    end(gate, random);
                    break;
                default:
                    begin(gate, random, step);
                    break;
            }
        }
    }

    @Test
    void removesRecordsOnlyAfterTheRetention() {
        final IdempotencySettings settings = new IdempotencySettings(
                1, Duration.ofMillis(25), Duration.ofHours(1), Duration.ofMinutes(10), 1_000, 64);
        final IdempotencyFleet kept = new IdempotencyFleet(settings);
        final PeerIdempotencyGate gate = kept.gates.get(1);
        final IdempotencyDecision.Run run =
                assertInstanceOf(IdempotencyDecision.Run.class, begin(kept, gate, "k", "f"));
        gate.complete(run, response("done")).subscribe();
        begin(kept, gate, "next", "f");
        begin(kept, gate, "last", "f");
        kept.advance(Duration.ofMinutes(59).toMillis());
        kept.moveShards(2);
        assertInstanceOf(IdempotencyDecision.Completed.class, begin(kept, gate, "k", "f"));
        kept.advance(Duration.ofMinutes(10).toMillis());
        assertInstanceOf(IdempotencyDecision.Run.class, begin(kept, gate, "k", "f"));
    }

    private void begin(final PeerIdempotencyGate gate, final Random random, final int step) {
        final IdempotencyKey key = new IdempotencyKey("key-" + random.nextInt(KEYS));
        final Fingerprint fingerprint = new Fingerprint("body-" + (random.nextInt(20) == 0 ? 1 : 0));
        final IdempotencyDecision expected = naive.begin(TEAM, key, fingerprint).blockingGet();
        final IdempotencyDecision actual = begin(fleet, gate, key.value(), fingerprint.value());
        assertEquals(name(expected), name(actual), "step " + step + " " + key);
        if (actual instanceof IdempotencyDecision.Run run) {
            running.add(run);
            naiveRunning.add((IdempotencyDecision.Run) expected);
        }
        if (actual instanceof IdempotencyDecision.Completed completed) {
            assertEquals(((IdempotencyDecision.Completed) expected).response(), completed.response());
        }
    }

    private void end(final PeerIdempotencyGate gate, final Random random) {
        if (running.isEmpty()) {
            return;
        }
        final int index = random.nextInt(running.size());
        final IdempotencyDecision.Run run = running.remove(index);
        final IdempotencyDecision.Run naiveRun = naiveRunning.remove(index);
        switch (random.nextInt(4)) {
            case 0:
                naive.abandon(naiveRun).subscribe();
                gate.abandon(run).subscribe();
                break;
            case 1:
                naive.markOutcomeUnknown(naiveRun).subscribe();
                gate.markOutcomeUnknown(run).subscribe();
                break;
            default:
                final StoredResponse response = response(run.attempt());
                naive.complete(naiveRun, response).subscribe();
                gate.complete(run, response).subscribe();
                break;
        }
        fleet.advance(20_000);
    }

    private static IdempotencyDecision begin(
            final IdempotencyFleet fleet, final PeerIdempotencyGate gate, final String key, final String fingerprint) {
        for (int i = 0; i < 10; i++) {
            final TestObserver<IdempotencyDecision> decision = gate.begin(
                            TEAM, new IdempotencyKey(key), new Fingerprint(fingerprint))
                    .test();
            fleet.advance(20_000);
            if (decision.values().size() == 1) {
                return decision.values().get(0);
            }
        }
        throw new AssertionError("no decision on " + key);
    }

    private static String name(final IdempotencyDecision decision) {
        return decision.getClass().getSimpleName();
    }

    private static StoredResponse response(final String text) {
        return new StoredResponse(200, "text/plain", ByteString.copyFromUtf8(text));
    }
}
