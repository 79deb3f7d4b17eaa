package org.balsambank.gateway.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import org.balsambank.gateway.loop.Channels;

/**
 * Closes a connection after what was written to it.
 *
 * <p>Invariant: a response that was not written whole ends with a reset, so that it does not look complete. Confined to
 * the decision loop.
 */
final class GracefulClose {
    private static final Duration LINGER = Duration.ofMillis(400);

    private final Channel channel;
    private final Duration stall;
    private boolean flushed;

    /**
     * Creates an instance that is not started.
     *
     * @param channel the connection
     * @param stall how long the peer may read nothing
     */
    GracefulClose(final Channel channel, final Duration stall) {
        this.channel = Objects.requireNonNull(channel);
        this.stall = Objects.requireNonNull(stall);
    }

    /**
     * Closes the output after the pending writes, however long the peer takes to read them. Then keeps reading for a
     * while, because closing with unread input would reset the connection and could discard the response.
     */
    void start() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) done -> outputFlushed());
        if (!flushed) {
            closeIfStalledAt(Channels.unwrittenBytes(channel));
        }
    }

    private void outputFlushed() {
        flushed = true;
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
        }
        schedule(channel::close, LINGER);
    }

    private void closeIfStalledAt(final long unwrittenBefore) {
        schedule(
                () -> {
                    final long unwritten = Channels.unwrittenBytes(channel);
                    if (!flushed && unwritten < unwrittenBefore) {
                        closeIfStalledAt(unwritten);
                    } else if (!flushed) {
                        Channels.reset(channel);
                    }
                },
                stall);
    }

    private void schedule(final Runnable task, final Duration delay) {
        channel.eventLoop().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether all writes have ended.
     *
     * @return true once everything was handed to the system, or the connection was lost
     */
    boolean flushed() {
        return flushed;
    }
}
