package org.balsambank.gateway;

import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.serving.EntryParser;
import org.balsambank.core.serving.placement.TargetOrderClient;

/**
 * How a VM speaks to the outside.
 *
 * @param store the key-value service
 * @param facts reads the entries of others
 * @param orders speaks to targets about what they hold
 * @param dialect the names and formats of callers and targets
 */
public record PlatformBindings(
        PolledKeyValueStore store, EntryParser facts, TargetOrderClient orders, Dialect dialect) {}
