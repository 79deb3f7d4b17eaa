package org.balsambank.core.idempotency;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.balsambank.protocol.generated.idempotency.Begun;
import org.balsambank.protocol.generated.idempotency.KeptAnswer;
import org.balsambank.protocol.generated.idempotency.LogRecord;
import org.junit.jupiter.api.Test;

/**
 * Prints the cost of calls with idempotency keys in writes, bytes and memory, in virtual time. Not part of the tests.
 * Confined to one thread.
 */
final class IdempotencyCapacityReport {
    private static final int SECONDS = 60;
    private static final int[] CALLS_PER_SECOND = {10, 100, 250, 500, 1_000};
    private static final int[] SEGMENT_BYTES = {1 << 10, 4 << 10, 16 << 10};
    private static final int[] RECORDS = {10_000, 20_000, 40_000};
    private static final int RESPONSE_BYTES = 200;
    private static final TeamId TEAM = new TeamId("ribera");

    private int answered;

    @Test
    void printCost() {
        for (final int segmentBytes : SEGMENT_BYTES) {
            for (final int rate : CALLS_PER_SECOND) {
                print(rate, segmentBytes);
            }
        }
        for (final int records : RECORDS) {
            System.out.printf("records=%d bytes_of_memory_per_record=%d%n", records, memory(records));
        }
    }

    private void print(final int rate, final int segmentBytes) {
        final IdempotencySettings defaults = IdempotencySettings.DEFAULT;
        final IdempotencyFleet fleet = new IdempotencyFleet(new IdempotencySettings(
                defaults.shards(),
                defaults.writeInterval(),
                defaults.retention(),
                defaults.maxRunDuration(),
                defaults.maxRecords(),
                segmentBytes));
        final int swapsBefore = swaps(fleet);
        final double bytesBefore = bytes(fleet);
        answered = 0;
        final int calls = rate * SECONDS;
        for (int i = 0; i < calls; i++) {
            call(fleet.gates.get(1 + i % 2), i);
            fleet.clock.advanceTimeBy(1_000_000 / rate, TimeUnit.MICROSECONDS);
        }
        final double peerBytes = fleet.transports.stream()
                .mapToLong(FakePeerTransport::bytesSent)
                .sum();
        System.out.printf(
                "segment_bytes=%d calls_per_second=%d answered=%d of %d "
                        + "writes_per_second=%.1f written_bytes_per_call=%.0f "
                        + "peer_bytes_per_call=%.0f%n",
                segmentBytes,
                rate,
                answered,
                calls,
                (double) (swaps(fleet) - swapsBefore) / SECONDS,
                (bytes(fleet) - bytesBefore) / calls,
                peerBytes / calls);
    }

    private void call(final PeerIdempotencyGate gate, final int number) {
        final StoredResponse response =
                new StoredResponse(200, "application/json", ByteString.copyFrom(new byte[RESPONSE_BYTES]));
        gate.begin(TEAM, new IdempotencyKey("order-" + number), new Fingerprint("0123456789abcdef0123456789abcdef"))
                .flatMapCompletable(decision -> gate.complete((IdempotencyDecision.Run) decision, response))
                .subscribe(() -> answered++, error -> {});
    }

    private static long memory(final int records) {
        final long before = used();
        final RecordTable table = new RecordTable();
        for (int i = 0; i < records; i++) {
            final LogRecord.Builder record = LogRecord.newBuilder()
                    .setTeam(TEAM.value())
                    .setKey("order-" + i)
                    .setAttempt("vm-1-0-" + i)
                    .setTimeMillis(i);
            table.apply(record.setBegun(Begun.newBuilder()
                            .setFingerprint(Integer.toHexString(i).repeat(6)))
                    .build());
            table.apply(
                    record.setCompleted(KeptAnswer.newBuilder().setBody(ByteString.copyFrom(new byte[RESPONSE_BYTES])))
                            .build());
        }
        final long after = used();
        return (after - before) / table.size();
    }

    private static long used() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static int swaps(final IdempotencyFleet fleet) {
        return fleet.service.calls().getOrDefault("swap", 0);
    }

    private static double bytes(final IdempotencyFleet fleet) {
        return fleet.registry.counter(SegmentWriter.WRITTEN_BYTES).count();
    }
}
