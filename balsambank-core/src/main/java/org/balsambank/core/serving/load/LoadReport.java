package org.balsambank.core.serving.load;

import java.time.Duration;
import java.util.Objects;

import org.balsambank.core.serving.target.TargetStart;

/**
 * The load that one start of a target has reported, with its age.
 *
 * <p>Immutable and thread-safe.
 *
 * @param start the start of the target
 * @param load the load
 * @param age the time since a VM received the response that carried it
 */
public record LoadReport(TargetStart start, ServerLoad load, Duration age) {
    /** Checks the fields. */
    public LoadReport {
        Objects.requireNonNull(start);
        Objects.requireNonNull(load);
        if (age.isNegative()) {
            throw new IllegalArgumentException("age: " + age);
        }
    }
}
