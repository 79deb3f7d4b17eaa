package org.balsambank.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;

/**
 * Links to the other VMs over TCP: each VM opens one connection to each VM that it calls.
 *
 * <p>Confined to the decision loop; sockets are served by the loop or by a separate thread. A closed link is replaced
 * at the next call.
 */
public final class NettyPeerTransport implements PeerTransport {
    private static final int FRAME_OVERHEAD_BYTES = 64;
    private static final int NETWORK_THREADS = 1;

    private final VmId self;
    private final PeerAddresses addresses;
    private final PeerSettings settings;
    private final TimerService timer;
    private final Executor loop;
    private final PeerMetrics metrics;
    private final EventLoopGroup network;
    private final boolean ownsNetwork;
    private final Map<Integer, HandlerRegistration<?, ?>> handlers = new HashMap<>();
    private final Map<VmId, OutboundLink> links = new HashMap<>();
    private final Set<InboundLink> inbound = new HashSet<>();
    private Channel server;

    /**
     * Creates the links without opening any.
     *
     * @param self this VM
     * @param addresses the addresses of the other VMs
     * @param settings the limits and the fleet token
     * @param timer the clock and scheduler of the decision loop
     * @param loop runs tasks on the decision loop, in order
     * @param registry the registry of the link metrics
     */
    public NettyPeerTransport(
            final VmId self,
            final PeerAddresses addresses,
            final PeerSettings settings,
            final TimerService timer,
            final Executor loop,
            final MeterRegistry registry) {
        this(
                self,
                addresses,
                settings,
                timer,
                loop,
                new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory()),
                true,
                registry);
    }

    /**
     * Creates the links without opening any, with sockets that the decision loop itself serves.
     *
     * @param self this VM
     * @param addresses the addresses of the other VMs
     * @param settings the limits and the fleet token
     * @param timer the clock and scheduler of the decision loop
     * @param loop runs tasks on the decision loop, in order
     * @param network the event loop of the decision loop; not shut down by {@link #close()}
     * @param registry the registry of the link metrics
     */
    public NettyPeerTransport(
            final VmId self,
            final PeerAddresses addresses,
            final PeerSettings settings,
            final TimerService timer,
            final Executor loop,
            final EventLoopGroup network,
            final MeterRegistry registry) {
        this(self, addresses, settings, timer, loop, network, false, registry);
    }

    private NettyPeerTransport(
            final VmId self,
            final PeerAddresses addresses,
            final PeerSettings settings,
            final TimerService timer,
            final Executor loop,
            final EventLoopGroup network,
            final boolean ownsNetwork,
            final MeterRegistry registry) {
        this.self = Objects.requireNonNull(self);
        this.addresses = Objects.requireNonNull(addresses);
        this.settings = Objects.requireNonNull(settings);
        this.timer = Objects.requireNonNull(timer);
        this.loop = Objects.requireNonNull(loop);
        this.network = Objects.requireNonNull(network);
        this.ownsNetwork = ownsNetwork;
        this.metrics = new PeerMetrics(registry);
    }

    /**
     * Starts to listen for connections of the other VMs.
     *
     * @param host the IP address to listen on
     * @param port the TCP port, or 0 for a free one
     * @return the bound port; fails if the port can't be bound
     */
    public Single<Integer> listen(final String host, final int port) {
        return Single.create(emitter -> new ServerBootstrap()
                .group(network)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        FrameHandler.initializer(InboundLink.MAX_HELLO_BYTES, loop, metrics, this::createInboundLink))
                .bind(host, port)
                .addListener((ChannelFutureListener) bound -> loop.execute(() -> {
                    if (bound.isSuccess()) {
                        server = bound.channel();
                        emitter.onSuccess(((InetSocketAddress) server.localAddress()).getPort());
                    } else {
                        emitter.tryOnError(bound.cause());
                    }
                })));
    }

    /**
     * Waits until the responses that this VM has sent to other VMs are written.
     *
     * @return completes when the system has taken over all frames, at the latest after the silence timeout
     */
    public Completable flush() {
        return Completable.merge(inbound.stream().map(InboundLink::flush).toList())
                .observeOn(Schedulers.from(loop))
                .timeout(settings.silence().toNanos(), TimeUnit.NANOSECONDS, timer.scheduler(), Completable.complete());
    }

    /**
     * Closes all links.
     *
     * @return completes when the links are closed and the network thread, if owned, has ended
     */
    public Completable close() {
        return Completable.create(emitter -> {
            links.values().forEach(OutboundLink::close);
            links.clear();
            if (!ownsNetwork) {
                emitter.onComplete();
                return;
            }
            network.shutdownGracefully(0, settings.connectTimeout().toMillis(), TimeUnit.MILLISECONDS)
                    .addListener(ended -> emitter.onComplete());
        });
    }

    @Override
    public <Q extends Message, A extends Message> Single<A> call(
            final VmId to, final PeerMethod<Q, A> method, final Q request, final Duration timeout) {
        return stream(to, method, request)
                .singleOrError()
                .onErrorResumeNext(error -> Single.error(singleResponseError(method, error)))
                .timeout(
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS,
                        timer.scheduler(),
                        Single.error(() -> new PeerException(Reason.TIMEOUT, method.name() + " to " + to)));
    }

    @Override
    public <Q extends Message, A extends Message> Flowable<A> stream(
            final VmId to, final PeerMethod<Q, A> method, final Q request) {
        if (to.equals(self)) {
            return Flowable.defer(() -> callLocalHandler(method, request)).subscribeOn(timer.scheduler());
        }
        return Flowable.defer(() -> {
            final ByteString bytes = request.toByteString();
            if (bytes.size() > settings.maxFrameBytes() - FRAME_OVERHEAD_BYTES) {
                return Flowable.error(new BalsambankException(ErrorKind.BODY_TOO_LARGE, "request of " + method.name()));
            }
            final Optional<InetSocketAddress> address = addresses.lookup(to);
            if (address.isEmpty()) {
                return Flowable.error(new PeerException(Reason.NOT_SENT, "no known address for " + to));
            }
            final OutboundCall<A> call = new OutboundCall<>(method, bytes, settings.windowItems());
            link(to, address.get()).start(call);
            return call.response();
        });
    }

    @Override
    public <Q extends Message, A extends Message> void serve(
            final PeerMethod<Q, A> method, final PeerHandler<Q, A> handler) {
        if (handlers.putIfAbsent(method.number(), new HandlerRegistration<>(method, handler)) != null) {
            throw new IllegalArgumentException("method " + method.number() + " already has a handler");
        }
    }

    private <Q extends Message, A extends Message> Flowable<A> callLocalHandler(
            final PeerMethod<Q, A> method, final Q request) {
        final HandlerRegistration<?, ?> registration = handlers.get(method.number());
        if (registration == null || !registration.method().equals(method)) {
            return Flowable.error(new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "no handler of " + method.name()));
        }
        // The cast is safe: serve() accepts a handler only together with a method of the same types.
        @SuppressWarnings("unchecked")
        final PeerHandler<Q, A> handler = (PeerHandler<Q, A>) registration.handler();
        return Flowable.defer(() -> handler.handle(self, request))
                .onErrorResumeNext(error -> Flowable.error(FailureCodec.toBalsambankException(error)));
    }

    private OutboundLink link(final VmId to, final InetSocketAddress address) {
        final OutboundLink existing = links.get(to);
        if (existing != null && existing.usable(address)) {
            return existing;
        }
        final OutboundLink link = new OutboundLink(self, to, address, settings, timer, metrics);
        links.put(to, link);
        connect(link, address);
        return link;
    }

    private void connect(final OutboundLink link, final InetSocketAddress address) {
        final ChannelFuture connecting = new Bootstrap()
                .group(network)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(FrameHandler.initializer(settings.maxFrameBytes(), loop, metrics, channel -> link))
                .connect(address);
        connecting.addListener((ChannelFutureListener) done -> loop.execute(() -> {
            if (done.isSuccess()) {
                link.connected(done.channel());
            } else {
                link.close();
            }
        }));
    }

    private FrameListener createInboundLink(final Channel channel) {
        final InboundLink link = new InboundLink(self, channel, settings, timer, metrics, handlers, inbound::remove);
        loop.execute(() -> {
            inbound.add(link);
            link.open();
        });
        return link;
    }

    private static Throwable singleResponseError(final PeerMethod<?, ?> method, final Throwable error) {
        if (error instanceof NoSuchElementException || error instanceof IllegalArgumentException) {
            return new BalsambankException(ErrorKind.INTERNAL, method.name() + " needs exactly one item");
        }
        return error;
    }
}
