package org.balsambank.standin.experiment;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.core.port.PeerTransport;

/**
 * Simulated links between VMs in virtual time that count messages and bytes.
 *
 * <p>Confined to one thread.
 */
final class VirtualPeers {
    private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);

    private final TestScheduler clock;
    private final Map<VmId, Map<Integer, PeerHandler<? extends Message, ? extends Message>>> handlers = new HashMap<>();
    private final Set<VmId> stopped = new HashSet<>();
    private long messages;
    private long bytes;

    /**
     * Creates a network without VMs.
     *
     * @param clock the virtual time
     */
    VirtualPeers(final TestScheduler clock) {
        this.clock = clock;
    }

    /**
     * Stops a VM; it does not answer calls any more.
     *
     * @param vm the VM
     */
    void stop(final VmId vm) {
        stopped.add(vm);
    }

    /**
     * Returns whether a VM is running.
     *
     * @param vm the VM
     * @return true until it is stopped
     */
    boolean isRunning(final VmId vm) {
        return !stopped.contains(vm);
    }

    /**
     * Returns the number of messages between different VMs.
     *
     * @return the requests and answers, without those of a VM to itself
     */
    long messages() {
        return messages;
    }

    /**
     * Returns the payload size of the messages between different VMs.
     *
     * @return the bytes of requests and answers, without those of a VM to itself
     */
    long bytes() {
        return bytes;
    }

    /**
     * Creates the links of one VM.
     *
     * @param self the VM
     * @return its links
     */
    PeerTransport transportOf(final VmId self) {
        handlers.put(self, new HashMap<>());
        return new Links(self);
    }

    private void count(final VmId from, final VmId to, final Message message) {
        if (!from.equals(to)) {
            messages++;
            bytes += message.getSerializedSize();
        }
    }

    /** The links of one VM. Confined to one thread. */
    private final class Links implements PeerTransport {
        private final VmId self;

        private Links(final VmId self) {
            this.self = self;
        }

        @Override
        public <Q extends Message, A extends Message> Single<A> call(
                final VmId to, final PeerMethod<Q, A> method, final Q request, final Duration timeout) {
            return stream(to, method, request).firstOrError().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS, clock);
        }

        @Override
        public <Q extends Message, A extends Message> Flowable<A> stream(
                final VmId to, final PeerMethod<Q, A> method, final Q request) {
            return Flowable.defer(() -> {
                        if (!isRunning(to)) {
                            return Flowable.<A>error(new PeerException(PeerException.Reason.NOT_SENT, method.name()));
                        }
                        count(self, to, request);
                        return answer(to, method, request)
                                .doOnNext(item -> count(to, self, item))
                                .delay(ONE_WAY_LATENCY.toMillis(), TimeUnit.MILLISECONDS, clock);
                    })
                    .delaySubscription(ONE_WAY_LATENCY.toMillis(), TimeUnit.MILLISECONDS, clock);
        }

        @SuppressWarnings("unchecked")
        private <Q extends Message, A extends Message> Flowable<A> answer(
                final VmId to, final PeerMethod<Q, A> method, final Q request) {
            return ((PeerHandler<Q, A>) handlers.get(to).get(method.number())).handle(self, request);
        }

        @Override
        public <Q extends Message, A extends Message> void serve(
                final PeerMethod<Q, A> method, final PeerHandler<Q, A> handler) {
            handlers.get(self).put(method.number(), handler);
        }
    }
}
