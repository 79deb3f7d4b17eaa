package org.balsambank.peer;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests links between two VMs on loopback. Confined to one thread. */
@Timeout(60)
final class NettyPeerTransportTest {
    private static final RelayChunk REQUEST = PeerFixture.chunk("request");
    private static final int ITEMS = 1000;

    private final PeerFixture fixture = new PeerFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void completeStreamArrivesInOrder() {
        serve((from, request) -> Flowable.range(0, ITEMS).map(i -> PeerFixture.chunk(from + " " + i)));
        final TestSubscriber<RelayChunk> subscriber = stream().test();
        assertTrue(await(subscriber));
        subscriber.assertComplete().assertValueCount(ITEMS);
        assertEquals(PeerFixture.chunk("near 999"), subscriber.values().get(ITEMS - 1));
    }

    @Test
    void slowSubscriberLimitsEmittedItems() throws InterruptedException {
        final AtomicInteger emitted = new AtomicInteger();
        serve((from, request) -> Flowable.range(0, ITEMS)
                .map(i -> PeerFixture.chunk("item"))
                .doOnNext(item -> emitted.incrementAndGet()));
        final TestSubscriber<RelayChunk> subscriber = stream().test(1);
        subscriber.awaitCount(1);
        roundTrip();
        assertTrue(emitted.get() <= fixture.settings.windowItems());
        fixture.onLoop(() -> subscriber.request(ITEMS));
        assertTrue(await(subscriber));
        subscriber.assertComplete().assertValueCount(ITEMS);
    }

    @Test
    void cancelReachesTheHandler() throws InterruptedException {
        final CountDownLatch cancelled = new CountDownLatch(1);
        serve((from, request) ->
                Flowable.just(REQUEST).concatWith(Flowable.never()).doOnCancel(cancelled::countDown));
        final TestSubscriber<RelayChunk> subscriber = stream().test();
        subscriber.awaitCount(1);
        fixture.onLoop(subscriber::cancel);
        assertTrue(cancelled.await(30, TimeUnit.SECONDS));
    }

    @Test
    void errorKeepsKindMessageAndRetryAfter() {
        serve((from, request) ->
                Flowable.error(new BalsambankException(ErrorKind.RATE_EXCEEDED, "slower", Duration.ofMillis(250))));
        final BalsambankException error = (BalsambankException) error();
        assertEquals(ErrorKind.RATE_EXCEEDED, error.kind());
        assertEquals("slower", error.getMessage());
        assertEquals(Duration.ofMillis(250), error.retryAfter().orElseThrow());
    }

    @Test
    void brokenLinkNeverCompletesTheStream() throws IOException {
        try (StallingProxy proxy = proxy()) {
            serve((from, request) -> Flowable.just(REQUEST).concatWith(Flowable.never()));
            final TestSubscriber<RelayChunk> subscriber = stream().test();
            subscriber.awaitCount(1);
            proxy.closeConnections();
            assertTrue(await(subscriber));
            subscriber.assertNotComplete().assertError(e -> ((PeerException) e).reason() == Reason.LOST);
        }
    }

    @Test
    void silentLinkIsDetectedAndReplaced() throws IOException {
        try (StallingProxy proxy = proxy()) {
            serve((from, request) -> Flowable.just(REQUEST).concatWith(Flowable.never()));
            final TestSubscriber<RelayChunk> subscriber = stream().test();
            subscriber.awaitCount(1);
            proxy.stall();
            fixture.advance(Duration.ofSeconds(2));
            assertTrue(await(subscriber));
            subscriber.assertNotComplete().assertError(e -> ((PeerException) e).reason() == Reason.LOST);
            assertEquals(REQUEST, fixture.get(stream().firstOrError()));
        }
    }

    @Test
    void quietLinkStaysOpenWhilePongsArrive() {
        final PublishProcessor<RelayChunk> responseItems = PublishProcessor.create();
        serve((from, request) -> responseItems);
        final TestSubscriber<RelayChunk> subscriber = stream().test();
        roundTrip();
        for (int pings = 1; pings <= 8; pings++) {
            final double sent = bytesSent(fixture.farRegistry);
            fixture.advance(fixture.settings.heartbeat());
            while (bytesSent(fixture.farRegistry) == sent) {
                Thread.onSpinWait();
            }
            roundTrip();
        }
        subscriber.assertNotComplete().assertNoErrors();
        fixture.onLoop(responseItems::onComplete);
        assertTrue(await(subscriber));
        subscriber.assertComplete();
    }

    @Test
    void lateItemsOfACancelledCallAreDroppedAndCounted() {
        final PublishProcessor<RelayChunk> responseItems = PublishProcessor.create();
        serve((from, request) -> responseItems.onBackpressureBuffer());
        final TestSubscriber<RelayChunk> subscriber = stream().test();
        roundTrip();
        fixture.onLoop(() -> {
            responseItems.onNext(REQUEST);
            subscriber.cancel();
        });
        roundTrip();
        subscriber.assertNoValues();
        assertEquals(
                1, fixture.nearRegistry.counter("balsambank.peer.frames.late").count());
    }

    @Test
    void responsesOutOfOrderReachTheirCalls() {
        final PublishProcessor<Integer> gate = PublishProcessor.create();
        serve((from, request) ->
                request.equals(REQUEST) ? gate.firstElement().map(i -> request).toFlowable() : Flowable.just(request));
        final TestSubscriber<RelayChunk> first = stream().test();
        final RelayChunk other = PeerFixture.chunk("other");
        assertEquals(
                other,
                fixture.get(fixture.near.call(PeerFixture.FAR, PeerFixture.ECHO, other, PeerFixture.LONG_TIMEOUT)));
        first.assertNoValues();
        fixture.onLoop(() -> gate.onNext(1));
        assertTrue(await(first));
        first.assertResult(REQUEST);
    }

    @Test
    void callToUnreachablePeerIsNotSent() {
        final VmId nowhere = new VmId("nowhere");
        final PeerException unknown = (PeerException) fixture.near.stream(nowhere, PeerFixture.ECHO, REQUEST)
                .ignoreElements()
                .toSingleDefault(new Exception())
                .onErrorReturn(Exception.class::cast)
                .blockingGet();
        assertEquals(Reason.NOT_SENT, unknown.reason());
        fixture.get(fixture.far.close().toSingleDefault(true));
        assertEquals(Reason.NOT_SENT, ((PeerException) error()).reason());
    }

    @Test
    void linkWithWrongTokenIsRefused() {
        serve((from, request) -> Flowable.just(request));
        final NettyPeerTransport intruder = fixture.peer(
                new VmId("stranger"),
                PeerSettings.withToken(ByteString.copyFromUtf8("guess")),
                new SimpleMeterRegistry());
        final TestSubscriber<RelayChunk> subscriber = fixture.subscribeOnLoop(
                        intruder.stream(PeerFixture.FAR, PeerFixture.ECHO, REQUEST))
                .test();
        assertTrue(await(subscriber));
        subscriber.assertNoValues().assertError(e -> ((PeerException) e).reason() == Reason.NOT_SENT);
        assertEquals(
                1, fixture.farRegistry.counter("balsambank.peer.links.refused").count());
        fixture.get(intruder.close().toSingleDefault(true));
    }

    @Test
    void malformedFrameClosesOnlyItsConnection() throws IOException {
        serve((from, request) -> Flowable.just(request));
        for (final byte[] malformed : List.of(new byte[] {0, 0, 0, 3, 9, 9, 9}, new byte[] {127, 1, 1, 1, 1})) {
            try (Socket socket = new Socket(PeerFixture.HOST, fixture.farPort)) {
                socket.getOutputStream().write(malformed);
                assertEquals(-1, socket.getInputStream().read());
            }
        }
        assertEquals(
                2, fixture.farRegistry.counter("balsambank.peer.frames.broken").count());
        assertEquals(REQUEST, fixture.get(stream().firstOrError()));
    }

    @Test
    void callToSelfUsesLocalHandler() {
        fixture.onLoop(() -> fixture.near.serve(
                PeerFixture.ECHO, (from, request) -> Flowable.just(PeerFixture.chunk(from.value()))));
        final TestSubscriber<RelayChunk> subscriber =
                fixture.near.stream(PeerFixture.NEAR, PeerFixture.ECHO, REQUEST).test();
        fixture.advance(Duration.ZERO);
        subscriber.assertResult(PeerFixture.chunk("near"));
    }

    @Test
    void callWithoutResponseTimesOut() {
        serve((from, request) -> Flowable.never());
        final TestSubscriber<RelayChunk> subscriber = fixture.subscribeOnLoop(fixture.near
                        .call(PeerFixture.FAR, PeerFixture.ECHO, REQUEST, Duration.ofMillis(400))
                        .toFlowable())
                .test();
        roundTrip();
        fixture.advance(Duration.ofMillis(400));
        assertTrue(await(subscriber));
        subscriber.assertError(e -> ((PeerException) e).reason() == Reason.TIMEOUT);
    }

    private void serve(final PeerHandler<RelayChunk, RelayChunk> handler) {
        fixture.onLoop(() -> fixture.far.serve(
                PeerFixture.ECHO,
                (from, request) -> request.equals(marker()) ? Flowable.just(request) : handler.handle(from, request)));
    }

    private StallingProxy proxy() throws IOException {
        final StallingProxy proxy = new StallingProxy(fixture.farPort);
        fixture.onLoop(() -> fixture.addresses.put(PeerFixture.FAR, PeerFixture.HOST, proxy.port()));
        return proxy;
    }

    private Flowable<RelayChunk> stream() {
        return fixture.subscribeOnLoop(fixture.near.stream(PeerFixture.FAR, PeerFixture.ECHO, REQUEST));
    }

    private Throwable error() {
        final TestSubscriber<RelayChunk> subscriber = stream().test();
        assertTrue(await(subscriber));
        final Throwable[] seen = new Throwable[1];
        subscriber.assertError(e -> {
            seen[0] = e;
            return true;
        });
        return seen[0];
    }

    private void roundTrip() {
        fixture.get(fixture.near.call(PeerFixture.FAR, PeerFixture.ECHO, marker(), PeerFixture.LONG_TIMEOUT));
    }

    private static RelayChunk marker() {
        return PeerFixture.chunk("marker");
    }

    private static double bytesSent(final SimpleMeterRegistry registry) {
        return registry.counter("balsambank.peer.bytes.sent").count();
    }

    private static boolean await(final TestSubscriber<?> subscriber) {
        try {
            return subscriber.await(30, TimeUnit.SECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
