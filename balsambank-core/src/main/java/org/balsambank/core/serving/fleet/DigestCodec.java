package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.serving.load.LoadReport;
import org.balsambank.core.serving.load.ServerLoad;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.TargetResidency;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.target.TargetLimit;
import org.balsambank.protocol.generated.serving.Entry;
import org.balsambank.protocol.generated.serving.HeldAdapter;
import org.balsambank.protocol.generated.serving.Holding;
import org.balsambank.protocol.generated.serving.LimitReport;
import org.balsambank.protocol.generated.serving.TargetLoadReport;
import org.balsambank.protocol.generated.serving.TargetUse;

/**
 * Converts between domain types and the parts of messages between VMs.
 *
 * <p>Stateless and thread-safe.
 */
final class DigestCodec {
    private DigestCodec() {}

    /** Encodes the usage of a target. */
    static TargetUse usage(final TargetId target, final InFlightRequests.Usage usage, final boolean sameAdapters) {
        final TargetUse.Builder encoded = TargetUse.newBuilder()
                .setTarget(target.value())
                .setRequests(usage.requests())
                .setTokensAhead((int) usage.pendingPromptTokens())
                .setSameAdapters(sameAdapters);
        if (!sameAdapters) {
            usage.adapters().forEach(adapter -> encoded.addAdapters(adapter.toString()));
        }
        return encoded.build();
    }

    /** Decodes the usage of a target. */
    static InFlightRequests.Usage usage(final TargetUse encoded, final Set<AdapterKey> adaptersBefore) {
        final Set<AdapterKey> adapters = encoded.getSameAdapters()
                ? adaptersBefore
                : encoded.getAdaptersList().stream().map(AdapterKey::parse).collect(Collectors.toSet());
        return new InFlightRequests.Usage(encoded.getRequests(), encoded.getTokensAhead(), adapters);
    }

    /** Encodes the residency of a target. */
    static Holding residency(final TargetId target, final TargetResidency residency) {
        final Holding.Builder holding = Holding.newBuilder()
                .setTarget(target.value())
                .setFence(residency.fence())
                .setNumber(residency.number())
                .setUnresponsive(!residency.responsive());
        residency.models().forEach(model -> holding.addModels(model.value()));
        residency
                .adapters()
                .forEach((adapter, version) -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setVersion(version)));
        residency
                .pending()
                .forEach(adapter -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setPending(true)));
        return holding.build();
    }

    /** Decodes the residency of a target. */
    static TargetResidency residency(final Holding holding) {
        final Map<AdapterKey, Long> adapters = new HashMap<>();
        final Set<AdapterKey> pending = new HashSet<>();
        for (final HeldAdapter each : holding.getAdaptersList()) {
            final AdapterKey adapter = AdapterKey.parse(each.getAdapter());
            if (each.getPending()) {
                pending.add(adapter);
            } else {
                adapters.put(adapter, each.getVersion());
            }
        }
        final Set<BaseModel> models =
                holding.getModelsList().stream().map(BaseModel::new).collect(Collectors.toSet());
        return new TargetResidency(
                holding.getFence(), holding.getNumber(), adapters, pending, models, !holding.getUnresponsive());
    }

    /** Encodes what this VM knows of the limit of a target. */
    static LimitReport limit(final TargetLimits.Report report) {
        final LimitReport.Builder encoded = LimitReport.newBuilder()
                .setTarget(report.start().target().value())
                .setStartedMillis(report.start().startedMillis())
                .setNumber(report.number());
        if (report.limit().limited()) {
            encoded.setPerSecond(report.limit().perSecond());
        }
        return encoded.build();
    }

    /** Decodes what another VM knows of the limit of a target; a number of requests that is none counts as 0. */
    static TargetLimits.Report limit(final LimitReport report) {
        final double perSecond = report.getPerSecond() >= 0 ? report.getPerSecond() : 0;
        return new TargetLimits.Report(
                new TargetStart(new TargetId(report.getTarget()), report.getStartedMillis()),
                report.hasPerSecond() ? new TargetLimit(perSecond) : TargetLimit.NONE,
                report.getNumber());
    }

    /** Encodes the load that a target has reported. */
    static TargetLoadReport load(final LoadReport report) {
        return TargetLoadReport.newBuilder()
                .setTarget(report.start().target().value())
                .setStartedMillis(report.start().startedMillis())
                .setRunning(report.load().running())
                .setWaiting(report.load().waiting())
                .setSlots(report.load().slots())
                .setPace(report.load().pace().orElse(0))
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, report.age().toMillis()))
                .build();
    }

    /** Decodes the load that a target has reported; figures out of their bounds are clamped. */
    static LoadReport load(final TargetLoadReport report) {
        return new LoadReport(
                new TargetStart(new TargetId(report.getTarget()), report.getStartedMillis()),
                new ServerLoad(
                        count(report.getRunning()),
                        count(report.getWaiting()),
                        count(report.getSlots()),
                        report.getPace() == 0 ? OptionalInt.empty() : OptionalInt.of(count(report.getPace()))),
                Duration.ofMillis(Integer.toUnsignedLong(report.getAgeMillis())));
    }

    private static int count(final int unsigned) {
        return (int) Math.min(Integer.MAX_VALUE, Integer.toUnsignedLong(unsigned));
    }

    /** Encodes a change of an entry of the key-value service. */
    static Entry entry(final KeyValueChange change) {
        final Entry.Builder entry = Entry.newBuilder().setKey(change.key()).setRevision(change.revision());
        change.value().ifPresentOrElse(entry::setValue, () -> entry.setDeleted(true));
        return entry.build();
    }

    /** Decodes changes of entries of the key-value service. */
    static List<KeyValueChange> changes(final List<Entry> entries) {
        return entries.stream()
                .map(entry -> new KeyValueChange(
                        entry.getKey(),
                        entry.getDeleted() ? Optional.empty() : Optional.of(entry.getValue()),
                        entry.getRevision()))
                .toList();
    }
}
