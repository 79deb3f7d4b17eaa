package org.balsambank.gateway.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;

/** Operations on channels. Stateless; confined to the decision loop. */
public final class Channels {
    private Channels() {}

    /**
     * Closes a connection with a reset. The system discards the bytes that the peer has not received yet, where a plain
     * close would deliver them first, however late. Does nothing if the connection is closed.
     *
     * @param channel the connection
     */
    public static void reset(final Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /**
     * Reads what has arrived on a socket by now, or a part of it, and passes it to the handlers; a listening socket
     * accepts connections. Between two reads of the event loop its tasks run, so a task that must not miss what has
     * arrived reads first. Does nothing if the socket is closed or the channel has none.
     *
     * @param channel the connection or listener
     */
    public static void readArrived(final Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /**
     * Returns how much of what was written to a channel the system has not taken over yet.
     *
     * @param channel the channel
     * @return the number of bytes, 0 if the channel is closed
     */
    public static long unwrittenBytes(final Channel channel) {
        final ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }
}
