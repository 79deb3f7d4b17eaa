package org.balsambank.core.catalogue;

import java.util.List;
import java.util.stream.Collectors;

import org.balsambank.core.catalogue.check.Violation;

/**
 * Thrown when a catalogue file has violations.
 *
 * <p>Immutable and thread-safe. There is at least one violation. The message never contains an API key.
 */
public final class InvalidCatalogueException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Violation> violations;

    /**
     * Creates an exception.
     *
     * @param violations the violations, in document order
     */
    public InvalidCatalogueException(final List<Violation> violations) {
        super(violations.stream().map(Violation::toString).collect(Collectors.joining("\n")));
        this.violations = List.copyOf(violations);
    }

    /**
     * Returns the violations.
     *
     * @return the violations, in document order
     */
    public List<Violation> violations() {
        return violations;
    }
}
