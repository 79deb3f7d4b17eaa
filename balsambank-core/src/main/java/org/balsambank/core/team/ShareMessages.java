package org.balsambank.core.team;

import java.time.Duration;

import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.TeamId;
import org.balsambank.protocol.generated.team.ShareAnswer;
import org.balsambank.protocol.generated.team.ShareAsk;

/**
 * Converts share reports and grants to protobuf messages and back.
 *
 * <p>Stateless and thread-safe.
 */
final class ShareMessages {
    private ShareMessages() {}

    /**
     * Encodes a report.
     *
     * @param team the team
     * @param boot distinguishes the processes that this VM has run
     * @param report the report
     * @return the message
     */
    static ShareAsk encodeReport(final TeamId team, final long boot, final ShareReport report) {
        return ShareAsk.newBuilder()
                .setTeam(team.value())
                .setBoot(boot)
                .setNumber(report.number())
                .setAppliedNumber(report.appliedNumber())
                .setRate(report.rate())
                .setCapacity(report.capacity())
                .setSurgeCapacity(report.surgeCapacity())
                .setLevel(report.level())
                .setReturned(report.returned())
                .setDemand(report.demand())
                .setWaiting(report.waiting())
                .setStock(report.stock())
                .build();
    }

    /**
     * Decodes a report.
     *
     * @param message the message
     * @return the report
     */
    static ShareReport decodeReport(final ShareAsk message) {
        return new ShareReport(
                message.getNumber(),
                message.getAppliedNumber(),
                message.getRate(),
                message.getCapacity(),
                message.getSurgeCapacity(),
                message.getLevel(),
                message.getReturned(),
                message.getDemand(),
                message.getWaiting(),
                message.getStock());
    }

    /**
     * Encodes a grant.
     *
     * @param epoch the epoch of the owner
     * @param grant the grant
     * @return the message
     */
    static ShareAnswer encodeGrant(final Epoch epoch, final ShareGrant grant) {
        return ShareAnswer.newBuilder()
                .setEpoch(epoch.value())
                .setRate(grant.rate())
                .setCapacity(grant.capacity())
                .setSurgeCapacity(grant.surgeCapacity())
                .setSurgeMillis((int) grant.surgeLifetime().toMillis())
                .setUnits(grant.units())
                .setStandbyAfterMillis((int) grant.standbyAfter().toMillis())
                .setLifeMillis((int) grant.lifetime().toMillis())
                .setNextAskMillis((int) grant.nextReport().toMillis())
                .setRetryAfterMillis((int) grant.retryAfter().toMillis())
                .build();
    }

    /**
     * Decodes a grant.
     *
     * @param number the number of the report
     * @param message the message
     * @return the grant
     */
    static ShareGrant decodeGrant(final long number, final ShareAnswer message) {
        return new ShareGrant(
                number,
                message.getRate(),
                message.getCapacity(),
                message.getSurgeCapacity(),
                message.getUnits(),
                Duration.ofMillis(message.getStandbyAfterMillis()),
                Duration.ofMillis(message.getLifeMillis()),
                Duration.ofMillis(message.getSurgeMillis()),
                Duration.ofMillis(message.getNextAskMillis()),
                Duration.ofMillis(message.getRetryAfterMillis()));
    }
}
