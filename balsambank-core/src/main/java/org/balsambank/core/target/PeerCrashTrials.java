package org.balsambank.core.target;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.port.VmList;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.target.CrashListRequest;
import org.balsambank.protocol.generated.target.CrashNotice;
import org.balsambank.protocol.generated.target.CrashNoticeReceipt;
import org.balsambank.protocol.generated.target.CrashTrialGrant;
import org.balsambank.protocol.generated.target.CrashTrialRequest;

/**
 * Shares crashes between VMs and delegates the trials of a fingerprint to the owner of its partition.
 *
 * <p>Invariants: a suspect request has at most one trial in the fleet while the owner of its partition does not change;
 * a starting VM fetches the known crashes from another VM, and the requests that must not run again from the key-value
 * service. Messages are sent only on a crash, for a suspect request, and at startup. Confined to the decision loop.
 */
public final class PeerCrashTrials implements CrashTrials, Component {
    private static final String SUBJECT_PREFIX = "crash ";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);
    private static final int MAX_RETRIES = 5;

    private final VmId self;
    private final Ownership ownership;
    private final PeerTransport peers;
    private final VmList vms;
    private final TimerService timers;
    private final PoisonRequestRegistry registry;
    private final LocalCrashTrials local;
    private final SavedPoisonRequests saved;

    /**
     * Creates an instance for one VM.
     *
     * @param self this VM
     * @param ownership determines the VM that decides on a trial
     * @param peers the peer transport
     * @param vms lists the VMs to notify
     * @param timers the timer service
     * @param registry counts the crashes per fingerprint
     * @param store the key-value service, in which requests that must not run again outlast all VMs
     * @param wallMillis the wall clock in milliseconds
     */
    public PeerCrashTrials(
            final VmId self,
            final Ownership ownership,
            final PeerTransport peers,
            final VmList vms,
            final TimerService timers,
            final PoisonRequestRegistry registry,
            final KeyValueStore store,
            final LongSupplier wallMillis) {
        this.self = Objects.requireNonNull(self);
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.vms = Objects.requireNonNull(vms);
        this.timers = Objects.requireNonNull(timers);
        this.registry = Objects.requireNonNull(registry);
        this.local = new LocalCrashTrials(registry);
        this.saved = new SavedPoisonRequests(registry, store, this::owns, timers, wallMillis, DecisionLog.NONE);
    }

    /** Registers the handlers for calls from the other VMs and from this VM. */
    public void register() {
        peers.serve(TargetMethods.CRASH_TRIAL, (from, request) -> allow(request));
        peers.serve(TargetMethods.CRASH_NOTICE, (from, notice) -> {
            CrashMessages.apply(notice, registry);
            return Flowable.just(CrashNoticeReceipt.getDefaultInstance());
        });
        peers.serve(TargetMethods.CRASH_LIST, (from, request) -> Flowable.fromIterable(registry.notices()));
    }

    @Override
    public String name() {
        return "crash-trials";
    }

    @Override
    public Completable run() {
        final Completable fetched =
                others().flatMapCompletable(this::fetchCrashes).onErrorComplete();
        return Completable.mergeArray(fetched, saved.loadAndRun());
    }

    @Override
    public Single<CrashTrial> begin(final Fingerprint fingerprint, final Set<CrashId> crashes) {
        return Single.defer(() -> ownership
                .ownerOf(partition(fingerprint.value()))
                .map(owner -> requestTrial(owner, CrashMessages.trial(fingerprint, crashes)))
                .orElseGet(() -> Single.error(noOwner())));
    }

    @Override
    public void announce(final CrashId crash, final Set<Fingerprint> fingerprints) {
        final CrashNotice notice = CrashMessages.notice(crash, fingerprints);
        others().flattenAsFlowable(list -> list)
                .flatMapCompletable(vm -> sendNotice(vm, notice))
                .subscribe(() -> {}, error -> {});
    }

    private Single<List<VmId>> others() {
        return vms.list().map(entries -> entries.stream()
                .map(VmEntry::id)
                .filter(vm -> !vm.equals(self))
                .toList());
    }

    private Completable sendNotice(final VmId vm, final CrashNotice notice) {
        return peers.call(vm, TargetMethods.CRASH_NOTICE, notice, CALL_TIMEOUT)
                .ignoreElement()
                .retryWhen(errors -> errors.take(MAX_RETRIES)
                        .concatMapSingle(error -> timers.after(RETRY_DELAY).toSingleDefault(error)))
                .onErrorComplete();
    }

    /** Fetches the known crashes from the first VM that responds. */
    private Completable fetchCrashes(final List<VmId> others) {
        return Flowable.fromIterable(others)
                .concatMapMaybe(vm -> peers.stream(vm, TargetMethods.CRASH_LIST, CrashListRequest.getDefaultInstance())
                        .doOnNext(notice -> CrashMessages.apply(notice, registry))
                        .ignoreElements()
                        .andThen(Maybe.just(vm))
                        .onErrorComplete())
                .firstElement()
                .ignoreElement();
    }

    private Single<CrashTrial> requestTrial(final VmId owner, final CrashTrialRequest request) {
        return Single.create(emitter -> new Trial(emitter).start(owner, request));
    }

    private Flowable<CrashTrialGrant> allow(final CrashTrialRequest request) {
        return Flowable.defer(() -> {
            if (!owns(request.getFingerprint())) {
                return Flowable.error(noOwner());
            }
            return local.begin(new Fingerprint(request.getFingerprint()), CrashMessages.crashes(request))
                    .flatMapPublisher(trial -> Flowable.just(CrashTrialGrant.getDefaultInstance())
                            .concatWith(Flowable.never())
                            .doOnCancel(trial::end));
        });
    }

    private boolean owns(final String fingerprint) {
        return ownership.heldEpoch(partition(fingerprint)).isPresent();
    }

    private PartitionId partition(final String fingerprint) {
        return ownership.partitionOf(SubjectKind.TARGET, SUBJECT_PREFIX + fingerprint);
    }

    private static BalsambankException noOwner() {
        return new BalsambankException(
                ErrorKind.NO_OWNER, "the request has cost a target and no VM can allow another run");
    }

    /**
     * A trial granted by the owner of the fingerprint's partition; it lasts as long as the call. Confined to the
     * decision loop.
     */
    private final class Trial implements CrashTrial {
        private final SingleEmitter<CrashTrial> emitter;
        private final SerialDisposable call = new SerialDisposable();
        private boolean granted;

        Trial(final SingleEmitter<CrashTrial> emitter) {
            this.emitter = emitter;
        }

        void start(final VmId owner, final CrashTrialRequest request) {
            emitter.setCancellable(this::cancelIfNotGranted);
            call.set(peers.stream(owner, TargetMethods.CRASH_TRIAL, request)
                    .subscribe(grant -> granted(), this::failed, () -> failed(noOwner())));
        }

        @Override
        public void end() {
            call.dispose();
        }

        private void granted() {
            granted = true;
            emitter.onSuccess(this);
        }

        private void failed(final Throwable error) {
            emitter.tryOnError(error instanceof BalsambankException ? error : noOwner());
        }

        private void cancelIfNotGranted() {
            if (!granted) {
                call.dispose();
            }
        }
    }
}
