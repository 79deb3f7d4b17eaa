package org.balsambank.core.serving.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.TargetResidency;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.protocol.generated.serving.Entry;
import org.balsambank.protocol.generated.serving.HeldAdapter;
import org.balsambank.protocol.generated.serving.Holding;
import org.balsambank.protocol.generated.serving.TargetUse;

/**
 * Writes and reads the parts of messages between VMs.
 *
 * <p>Stateless and thread-safe.
 */
final class DigestCodec {
    private DigestCodec() {}

    /** Writes what is under way at a target. */
    static TargetUse use(final TargetId target, final InFlightRequests.Usage use, final boolean sameAdapters) {
        final TargetUse.Builder written = TargetUse.newBuilder()
                .setTarget(target.value())
                .setRequests(use.requests())
                .setTokensAhead((int) use.pendingPromptTokens())
                .setSameAdapters(sameAdapters);
        if (!sameAdapters) {
            use.adapters().forEach(adapter -> written.addAdapters(adapter.toString()));
        }
        return written.build();
    }

    /** Reads what is under way at a target. */
    static InFlightRequests.Usage use(final TargetUse written, final Set<AdapterKey> adaptersBefore) {
        final Set<AdapterKey> adapters = written.getSameAdapters()
                ? adaptersBefore
                : written.getAdaptersList().stream().map(AdapterKey::parse).collect(Collectors.toSet());
        return new InFlightRequests.Usage(written.getRequests(), written.getTokensAhead(), adapters);
    }

    /** Writes what a target holds. */
    static Holding holding(final TargetId target, final TargetResidency held) {
        final Holding.Builder holding = Holding.newBuilder()
                .setTarget(target.value())
                .setFence(held.fence())
                .setNumber(held.number());
        held.models().forEach(model -> holding.addModels(model.value()));
        held.adapters()
                .forEach((adapter, version) -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setVersion(version)));
        held.pending()
                .forEach(adapter -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setPending(true)));
        return holding.build();
    }

    /** Reads what a target holds. */
    static TargetResidency holding(final Holding holding) {
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
        return new TargetResidency(holding.getFence(), holding.getNumber(), adapters, pending, models);
    }

    /** Writes an entry of the key-value service. */
    static Entry entry(final KeyValueChange change) {
        final Entry.Builder entry = Entry.newBuilder().setKey(change.key()).setRevision(change.revision());
        change.value().ifPresentOrElse(entry::setValue, () -> entry.setDeleted(true));
        return entry.build();
    }

    /** Reads entries of the key-value service. */
    static List<KeyValueChange> changes(final List<Entry> entries) {
        return entries.stream()
                .map(entry -> new KeyValueChange(
                        entry.getKey(),
                        entry.getDeleted() ? Optional.empty() : Optional.of(entry.getValue()),
                        entry.getRevision()))
                .toList();
    }
}
