package org.balsambank.core.port;

import java.util.Map;

import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BootId;

/**
 * The state that a target reports about itself. The values may be out of date.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootId identifies the process; changes when the target restarts
 * @param running the number of running requests
 * @param waiting the number of requests queued inside the target
 * @param adapters the loaded adapter versions with the number of running requests of each
 */
public record TargetReport(BootId bootId, int running, int waiting, Map<AdapterRef, Integer> adapters) {
    /** Copies the map. */
    public TargetReport {
        adapters = Map.copyOf(adapters);
    }
}
