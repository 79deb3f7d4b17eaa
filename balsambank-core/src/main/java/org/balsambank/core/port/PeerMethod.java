package org.balsambank.core.port;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;

/**
 * Names a call between VMs and the types of its messages.
 *
 * <p>Immutable and thread-safe. Numbers are unique in the fleet and never change their meaning.
 *
 * @param number the number on the wire
 * @param name the name in metrics and traces
 * @param requestParser parses the request
 * @param responseParser parses an item of the answer
 * @param <Q> the type of the request
 * @param <A> the type of an item of the answer
 */
public record PeerMethod<Q extends Message, A extends Message>(
        int number, String name, Parser<Q> requestParser, Parser<A> responseParser) {}
