package org.balsambank.peer;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.balsambank.protocol.generated.peer.PeerFrame;

/**
 * Decodes frames on the network thread and passes them to a listener on the decision loop.
 *
 * <p>Confined to the network thread of its channel. Undecodable bytes close the channel.
 */
final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAMES_PER_FLUSH = 64;
    private static final String DECODER = "frames";

    private final Executor loop;
    private final PeerMetrics metrics;
    private final FrameListener listener;

    private FrameHandler(final Executor loop, final PeerMetrics metrics, final FrameListener listener) {
        this.loop = loop;
        this.metrics = metrics;
        this.listener = listener;
    }

    /**
     * Creates the initializer of new channels.
     *
     * @param maxFrameBytes the maximum size of a received frame, in bytes
     * @param loop the decision loop
     * @param metrics counts undecodable frames
     * @param listeners creates the listener of a new channel
     * @return the initializer
     */
    static ChannelInitializer<Channel> initializer(
            final int maxFrameBytes,
            final Executor loop,
            final PeerMetrics metrics,
            final Function<Channel, FrameListener> listeners) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final Channel channel) {
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true))
                        .addLast(DECODER, decoder(maxFrameBytes))
                        .addLast(new FrameHandler(loop, metrics, listeners.apply(channel)));
            }
        };
    }

    /**
     * Changes the maximum frame size of a channel. The peer must not send while this is done.
     *
     * @param channel the channel
     * @param maxFrameBytes the new maximum, in bytes
     */
    static void setMaxFrameBytes(final Channel channel, final int maxFrameBytes) {
        channel.pipeline().replace(DECODER, DECODER, decoder(maxFrameBytes));
    }

    /**
     * Encodes a frame with a length prefix.
     *
     * @param frame the frame
     * @return the length prefix and the serialized frame
     */
    static ByteBuf encode(final PeerFrame frame) {
        final byte[] bytes = frame.toByteArray();
        final ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(bytes.length);
        return Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(bytes));
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final ByteBuf bytes)
            throws InvalidProtocolBufferException {
        final PeerFrame frame = PeerFrame.parseFrom(bytes.nioBuffer());
        loop.execute(() -> listener.onFrame(frame));
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        loop.execute(listener::onClosed);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (!(cause instanceof IOException) || cause instanceof InvalidProtocolBufferException) {
            metrics.brokenFrame();
        }
        context.close();
    }

    private static LengthFieldBasedFrameDecoder decoder(final int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
