package org.balsambank.core.serving.poison;

import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.target.CrashId;
import org.balsambank.protocol.generated.serving.LostTarget;
import org.balsambank.protocol.generated.serving.PartReport;

/**
 * Converts evidence to and from the messages between VMs.
 *
 * <p>Stateless and thread-safe.
 */
final class PartReportCodec {
    private PartReportCodec() {}

    /** Encodes the evidence of a part. */
    static PartReport encode(final PromptPartId part, final PartEvidence evidence) {
        final PartReport.Builder report = PartReport.newBuilder()
                .setPart(part.value())
                .setEpoch(evidence.epoch())
                .setSuspicion(evidence.suspicion());
        evidence.crashes()
                .forEach(crash -> report.addCrashes(LostTarget.newBuilder()
                        .setTarget(crash.target().value())
                        .setBoot(crash.boot().value())));
        return report.build();
    }

    /** Decodes the evidence of a part. */
    static PartEvidence decode(final PartReport report) {
        final Set<CrashId> crashes = report.getCrashesList().stream()
                .map(each -> new CrashId(new TargetId(each.getTarget()), new BootId(each.getBoot())))
                .collect(Collectors.toSet());
        return new PartEvidence(report.getEpoch(), report.getSuspicion(), crashes);
    }
}
