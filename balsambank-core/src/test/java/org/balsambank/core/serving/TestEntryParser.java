package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.balsambank.core.port.KeyValueChange;

/**
 * Parses entries whose values are indexes into a list of updates registered by a test.
 *
 * <p>Confined to one thread.
 */
final class TestEntryParser implements EntryParser {
    private final List<EntryUpdate> updates = new ArrayList<>();

    ByteString register(final EntryUpdate update) {
        updates.add(update);
        return ByteString.copyFromUtf8(Integer.toString(updates.size() - 1));
    }

    @Override
    public Optional<EntryUpdate> parse(final KeyValueChange change) {
        if (change.value().isEmpty()) {
            return removed(change.key());
        }
        return Optional.of(updates.get(Integer.parseInt(change.value().get().toStringUtf8())));
    }

    private Optional<EntryUpdate> removed(final String key) {
        for (final EntryUpdate each : updates) {
            if (each instanceof EntryUpdate.TargetUpdate target && key.equals("target/" + target.id())) {
                return Optional.of(new EntryUpdate.TargetUpdate(target.id(), Optional.empty()));
            }
            if (each instanceof EntryUpdate.DomainUpdate domain && key.equals("domain/" + domain.domain())) {
                return Optional.of(new EntryUpdate.DomainUpdate(domain.domain(), false));
            }
        }
        return Optional.empty();
    }
}
