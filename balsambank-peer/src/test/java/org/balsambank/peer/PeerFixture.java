package org.balsambank.peer;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.protocol.generated.relay.RelayChunk;

/** Two VMs on loopback that share one event loop and a virtual clock, advanced by the test. */
final class PeerFixture implements AutoCloseable {
    static final PeerMethod<RelayChunk, RelayChunk> ECHO =
            new PeerMethod<>(1, "echo", RelayChunk.parser(), RelayChunk.parser());
    static final VmId NEAR = new VmId("near");
    static final VmId FAR = new VmId("far");
    static final String HOST = "127.0.0.1";
    static final Duration LONG_TIMEOUT = Duration.ofSeconds(100);
    private static final ByteString TOKEN = ByteString.copyFromUtf8("fleet");
    private static final long MAX_WAIT_SECONDS = 60;

    final TestScheduler clock = new TestScheduler();
    final SimpleMeterRegistry nearRegistry = new SimpleMeterRegistry();
    final SimpleMeterRegistry farRegistry = new SimpleMeterRegistry();
    final PeerSettings settings = PeerSettings.withToken(TOKEN);
    final PeerAddresses addresses = new PeerAddresses();
    final NettyPeerTransport near;
    final NettyPeerTransport far;
    final int farPort;
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final Scheduler loop = Schedulers.from(executor);

    PeerFixture() {
        near = peer(NEAR, settings, nearRegistry);
        far = peer(FAR, settings, farRegistry);
        farPort = get(far.listen(HOST, 0));
        onLoop(() -> addresses.put(FAR, HOST, farPort));
    }

    NettyPeerTransport peer(final VmId self, final PeerSettings own, final SimpleMeterRegistry registry) {
        return new NettyPeerTransport(self, addresses, own, SchedulerTimerService.ofVirtual(clock), executor, registry);
    }

    NettyPeerTransport peer(final VmId self, final EventLoopGroup network) {
        return new NettyPeerTransport(
                self,
                addresses,
                settings,
                SchedulerTimerService.ofVirtual(clock),
                executor,
                network,
                new SimpleMeterRegistry());
    }

    void onLoop(final Runnable action) {
        get(Completable.fromRunnable(action).toSingleDefault(true));
    }

    <T> T get(final Single<T> single) {
        return single.subscribeOn(loop)
                .timeout(MAX_WAIT_SECONDS, TimeUnit.SECONDS)
                .blockingGet();
    }

    <T> Flowable<T> subscribeOnLoop(final Flowable<T> flow) {
        return flow.subscribeOn(loop, false);
    }

    void advance(final Duration duration) {
        onLoop(() -> clock.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS));
    }

    static RelayChunk chunk(final String text) {
        return RelayChunk.newBuilder().setData(ByteString.copyFromUtf8(text)).build();
    }

    @Override
    public void close() {
        get(near.close().andThen(far.close()).toSingleDefault(true));
        executor.shutdown();
    }
}
