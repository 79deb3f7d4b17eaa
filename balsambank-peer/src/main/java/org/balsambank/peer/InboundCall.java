package org.balsambank.peer;

import java.util.function.Consumer;

import com.google.protobuf.Message;
import io.reactivex.rxjava3.subscribers.DisposableSubscriber;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.protocol.generated.peer.PeerEnd;
import org.balsambank.protocol.generated.peer.PeerFrame;
import org.balsambank.protocol.generated.peer.PeerItem;

/**
 * Sends the response of one inbound call.
 *
 * <p>Confined to the decision loop. Invariants: no more items are sent than the caller granted credit for; nothing is
 * sent after the last frame.
 */
final class InboundCall extends DisposableSubscriber<Message> {
    private static final int FRAME_OVERHEAD_BYTES = 64;

    private final long id;
    private final long initialCredit;
    private final int maxFrameBytes;
    private final Consumer<PeerFrame> output;
    private final Runnable onEnd;
    private long items;

    /**
     * Creates a call.
     *
     * @param id the id of the call on the link
     * @param initialCredit the number of items that the caller accepts initially
     * @param maxFrameBytes the maximum frame size, in bytes
     * @param output sends frames
     * @param onEnd runs after the last frame was passed to the output
     */
    InboundCall(
            final long id,
            final long initialCredit,
            final int maxFrameBytes,
            final Consumer<PeerFrame> output,
            final Runnable onEnd) {
        this.id = id;
        this.initialCredit = initialCredit;
        this.maxFrameBytes = maxFrameBytes;
        this.output = output;
        this.onEnd = onEnd;
    }

    /**
     * Adds credit from the caller.
     *
     * @param more the number of further items that the caller accepts
     */
    void addCredit(final long more) {
        if (more > 0) {
            request(more);
        }
    }

    @Override
    protected void onStart() {
        addCredit(initialCredit);
    }

    @Override
    public void onNext(final Message item) {
        if (item.getSerializedSize() > maxFrameBytes - FRAME_OVERHEAD_BYTES) {
            dispose();
            onError(new BalsambankException(ErrorKind.INTERNAL, "an item of the answer is too large"));
            return;
        }
        final PeerItem content = PeerItem.newBuilder()
                .setId(id)
                .setSequence(items)
                .setAnswer(item.toByteString())
                .build();
        items++;
        output.accept(PeerFrame.newBuilder().setItem(content).build());
    }

    @Override
    public void onError(final Throwable error) {
        output.accept(PeerFrame.newBuilder()
                .setFailure(FailureCodec.encode(id, error))
                .build());
        onEnd.run();
    }

    @Override
    public void onComplete() {
        output.accept(PeerFrame.newBuilder()
                .setEnd(PeerEnd.newBuilder().setId(id).setItems(items))
                .build());
        onEnd.run();
    }
}
