package org.balsambank.core.port;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;

/**
 * Describes an RPC method between VMs and its message types.
 *
 * <p>Immutable and thread-safe. Method numbers are unique in the fleet and are never reassigned.
 *
 * @param number the method number on the wire
 * @param name the method name in metrics and traces
 * @param requestParser parses the request
 * @param responseParser parses a response item
 * @param <Q> the request type
 * @param <R> the response item type
 */
public record PeerMethod<Q extends Message, R extends Message>(
        int number, String name, Parser<Q> requestParser, Parser<R> responseParser) {}
