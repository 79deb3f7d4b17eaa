package org.balsambank.gateway.target;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;

/** Creates records of faults for tests that do not read them. */
final class TestFaults {
    private TestFaults() {}

    static ResponseFaults none() {
        return new ResponseFaults(new TargetId("i-1"), DecisionLog.NONE, new SimpleMeterRegistry());
    }
}
