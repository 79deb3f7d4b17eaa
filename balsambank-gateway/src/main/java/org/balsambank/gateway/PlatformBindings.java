package org.balsambank.gateway;

import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.serving.EntryParser;
import org.balsambank.core.serving.duty.DutyClient;
import org.balsambank.core.serving.placement.TargetOrderClient;

/**
 * The platform-specific implementations that a gateway is built on.
 *
 * @param store the client of the key-value service
 * @param entryParser parses the entries that other writers keep in the store
 * @param orderClient reads reports of targets and orders them to load and unload
 * @param dialect the header names and message formats of callers and targets
 * @param dutyClient makes the calls of duties
 */
public record PlatformBindings(
        PolledKeyValueStore store,
        EntryParser entryParser,
        TargetOrderClient orderClient,
        Dialect dialect,
        DutyClient dutyClient) {}
