package org.balsambank.core.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.target.LoadSlotRequest;

/**
 * Borrows load slots from the VM that lends them.
 *
 * <p>Invariants: a load starts only with a slot from the current lender; a load in flight is reported to a new lender.
 * No load starts while there is no lender. Confined to the decision loop.
 */
public final class PeerLoadSlots implements LoadSlots {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;

    /**
     * Creates a borrower.
     *
     * @param ownership determines the lender
     * @param peers the peer transport
     * @param timers the timer service
     */
    public PeerLoadSlots(final Ownership ownership, final PeerTransport peers, final TimerService timers) {
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.timers = Objects.requireNonNull(timers);
    }

    @Override
    public Single<LoadSlot> acquire(final TrafficClass trafficClass) {
        return Single.create(emitter -> new Loan(trafficClass, emitter).start());
    }

    /** A slot that is requested or held. Confined to the decision loop. */
    private final class Loan implements LoadSlot {
        private final TrafficClass trafficClass;
        private final SingleEmitter<LoadSlot> emitter;
        private final SerialDisposable call = new SerialDisposable();
        private boolean granted;

        Loan(final TrafficClass trafficClass, final SingleEmitter<LoadSlot> emitter) {
            this.trafficClass = trafficClass;
            this.emitter = emitter;
        }

        void start() {
            emitter.setCancellable(this::cancelIfNotGranted);
            requestSlot();
        }

        @Override
        public void release() {
            call.dispose();
        }

        private void cancelIfNotGranted() {
            if (!granted) {
                call.dispose();
            }
        }

        private void requestSlot() {
            final Optional<VmId> lender = ownership.ownerOf(LoadSlotLender.partition(ownership));
            if (lender.isEmpty()) {
                retry();
                return;
            }
            final LoadSlotRequest request = LoadSlotRequest.newBuilder()
                    .setTrafficClass(trafficClass.name())
                    .setUnderWay(granted)
                    .build();
            final Disposable subscription = peers.stream(lender.get(), TargetMethods.LOAD_SLOT, request)
                    .subscribe(grant -> granted(), error -> retry(), this::retry);
            if (!subscription.isDisposed()) {
                call.set(subscription);
            }
        }

        private void granted() {
            if (!granted) {
                granted = true;
                emitter.onSuccess(this);
            }
        }

        private void retry() {
            if (!call.isDisposed()) {
                call.set(timers.after(RETRY_DELAY).subscribe(this::requestSlot));
            }
        }
    }
}
