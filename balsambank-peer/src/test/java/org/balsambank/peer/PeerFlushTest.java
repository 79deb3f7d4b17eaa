package org.balsambank.peer;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.core.id.VmId;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests over TCP that a VM can wait until its responses to other VMs are written. */
final class PeerFlushTest {
    private static final VmId OWNER = new VmId("owner");
    private static final RelayChunk ITEM = PeerFixture.chunk("item");
    private static final int WAIT_SECONDS = 30;

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch networkReleased = new CountDownLatch(1);
    private final PublishProcessor<RelayChunk> items = PublishProcessor.create();
    private PeerFixture fixture;
    private NettyPeerTransport owner;

    @BeforeEach
    void open() {
        fixture = new PeerFixture();
        owner = fixture.peer(OWNER, network);
        final int port = fixture.get(owner.listen(PeerFixture.HOST, 0));
        fixture.onLoop(() -> {
            fixture.addresses.put(OWNER, PeerFixture.HOST, port);
            owner.serve(PeerFixture.ECHO, (from, request) -> Flowable.just(ITEM).concatWith(items));
        });
    }

    @AfterEach
    void close() {
        networkReleased.countDown();
        fixture.close();
        network.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // Guards against LOST: the VM that owns a target exited with the last frames of a stream in its buffers.
    @Test
    void flushWaitsUntilTheEndOfAStreamIsWritten() throws Exception {
        final TestSubscriber<RelayChunk> stream = startStream();
        network.execute(this::awaitRelease);
        fixture.onLoop(items::onComplete);
        final TestObserver<Void> flush = flush();
        fixture.onLoop(() -> {});
        flush.assertNotComplete();
        networkReleased.countDown();
        assertTrue(flush.await(WAIT_SECONDS, TimeUnit.SECONDS));
        flush.assertComplete();
        assertTrue(stream.await(WAIT_SECONDS, TimeUnit.SECONDS));
        stream.assertComplete();
    }

    // Guards against a stop that waits for a VM that reads nothing any more.
    @Test
    void flushGivesUpAfterTheSilenceTimeout() throws Exception {
        startStream();
        network.execute(this::awaitRelease);
        final TestObserver<Void> flush = flush();
        fixture.advance(fixture.settings.silence().minus(Duration.ofMillis(1)));
        flush.assertNotComplete();
        fixture.advance(Duration.ofMillis(1));
        assertTrue(flush.await(WAIT_SECONDS, TimeUnit.SECONDS));
        flush.assertComplete();
    }

    private TestSubscriber<RelayChunk> startStream() throws InterruptedException {
        final TestSubscriber<RelayChunk> stream = fixture.subscribeOnLoop(
                        Flowable.defer(() -> fixture.near.stream(OWNER, PeerFixture.ECHO, ITEM)))
                .test();
        stream.awaitCount(1);
        stream.assertValueCount(1);
        return stream;
    }

    private TestObserver<Void> flush() {
        final TestObserver<Void> flush = new TestObserver<>();
        fixture.onLoop(() -> Completable.defer(owner::flush).subscribe(flush));
        return flush;
    }

    private void awaitRelease() {
        try {
            networkReleased.await();
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
