package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.balsambank.core.port.KeyValueChange;

/**
 * Reads entries whose values are numbers of facts that a test has written down.
 *
 * <p>Confined to one thread.
 */
final class TestFacts implements FactReader {
    private final List<Fact> known = new ArrayList<>();

    ByteString write(final Fact fact) {
        known.add(fact);
        return ByteString.copyFromUtf8(Integer.toString(known.size() - 1));
    }

    @Override
    public Optional<Fact> read(final KeyValueChange change) {
        if (change.value().isEmpty()) {
            return removed(change.key());
        }
        return Optional.of(known.get(Integer.parseInt(change.value().get().toStringUtf8())));
    }

    private Optional<Fact> removed(final String key) {
        for (final Fact each : known) {
            if (each instanceof Fact.TargetFact target && key.equals("target/" + target.id())) {
                return Optional.of(new Fact.TargetFact(target.id(), Optional.empty()));
            }
            if (each instanceof Fact.DomainFact domain && key.equals("domain/" + domain.domain())) {
                return Optional.of(new Fact.DomainFact(domain.domain(), false));
            }
        }
        return Optional.empty();
    }
}
