package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.ResponseHead;

/** Records the response chunks and the ends of attempts. Confined to one thread, except for the latches. */
final class RecordingListener implements ResponseSink, AttemptListener {
    final StringBuilder body = new StringBuilder();
    final List<AttemptEnd> ends = new ArrayList<>();
    final CountDownLatch chunkSeen = new CountDownLatch(1);
    final CountDownLatch hasEnded = new CountDownLatch(1);
    final CompletableFuture<LossFinding> finding = new CompletableFuture<>();
    boolean checksLosses;
    int status;
    boolean last;
    boolean writable = true;

    @Override
    public void head(final HttpResponse head) {}

    @Override
    public void chunk(final ByteBuf chunk, final boolean lastChunk) {
        body.append(chunk.toString(StandardCharsets.UTF_8));
        chunk.release();
        last |= lastChunk;
    }

    @Override
    public boolean writable() {
        return writable;
    }

    @Override
    public boolean connected() {
        return true;
    }

    @Override
    public void headArrived(final ResponseHead head) {}

    @Override
    public boolean head(final ResponseHead head) {
        status = head.status();
        return true;
    }

    @Override
    public void chunk() {
        chunkSeen.countDown();
    }

    @Override
    public void lossInDoubt(final Single<LossFinding> inDoubt) {
        if (checksLosses) {
            inDoubt.subscribe(finding::complete);
        }
    }

    @Override
    public void ended(final AttemptEnd end) {
        ends.add(end);
        hasEnded.countDown();
    }
}
