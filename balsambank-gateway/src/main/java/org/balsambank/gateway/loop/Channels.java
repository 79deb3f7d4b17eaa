package org.balsambank.gateway.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

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
}
