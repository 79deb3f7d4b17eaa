package org.balsambank.gateway.caller;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;

/** An embedded channel whose peer may stop reading, so that what is written stays in its buffer. One thread. */
final class StallableChannel extends EmbeddedChannel {
    private boolean stalled;

    void stall() {
        stalled = true;
    }

    /** Lets the peer read on; what was written before is flushed. */
    void resume() {
        stalled = false;
        flush();
        flushOutbound();
    }

    @Override
    protected void doWrite(final ChannelOutboundBuffer in) throws Exception {
        if (!stalled) {
            super.doWrite(in);
        }
    }
}
