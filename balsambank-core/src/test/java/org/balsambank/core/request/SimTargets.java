package org.balsambank.core.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;
import org.balsambank.core.port.TargetReport;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/** Simulated targets that count what they run, which the simulation checks afterwards. Confined to one thread. */
final class SimTargets {
    private static final long LOST_DELAY_MILLIS = 5_000;

    double faults;

    private final TestScheduler clock;
    private final Random random;
    private final Map<String, Integer> runsByCall = new HashMap<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();

    SimTargets(final TestScheduler clock, final long seed) {
        this.clock = clock;
        this.random = new Random(seed);
    }

    Map<String, Integer> runsByCall() {
        return runsByCall;
    }

    int runs(final String requestId) {
        return runsByRequest.getOrDefault(requestId, 0);
    }

    TargetClient client(final FakeDecisionLoop loop) {
        return new Client(loop);
    }

    private void run(final RelayRequest request) {
        runsByCall.merge(request.getBody().toStringUtf8(), 1, Integer::sum);
        runsByRequest.merge(request.getRequestId(), 1, Integer::sum);
    }

    private boolean injectFault() {
        return random.nextDouble() < faults;
    }

    /** The client of one VM. */
    private final class Client implements TargetClient {
        private final FakeDecisionLoop loop;

        private Client(final FakeDecisionLoop loop) {
            this.loop = loop;
        }

        @Override
        public Flowable<RelayEvent> send(final Target target, final Epoch epoch, final RelayRequest request) {
            return Flowable.create(emitter -> start(emitter, request), BackpressureStrategy.BUFFER);
        }

        @Override
        public Single<TargetReport> report(final Target target) {
            return Single.never();
        }

        @Override
        public Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
            return Completable.complete();
        }

        @Override
        public Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
            return Completable.complete();
        }

        private void start(final FlowableEmitter<RelayEvent> emitter, final RelayRequest request) {
            if (injectFault()) {
                fail(emitter, Reason.NOT_SENT, 1);
            } else if (injectFault()) {
                fail(emitter, Reason.LOST, LOST_DELAY_MILLIS);
            } else {
                schedule(1 + random.nextInt(4), () -> arrive(emitter, request));
            }
        }

        private void arrive(final FlowableEmitter<RelayEvent> emitter, final RelayRequest request) {
            if (injectFault()) {
                fail(emitter, Reason.REFUSED, 1);
                return;
            }
            run(request);
            if (injectFault()) {
                fail(emitter, Reason.LOST, 1);
                return;
            }
            final String receipt = "receipt for " + request.getBody().toStringUtf8();
            schedule(
                    5 + random.nextInt(300),
                    () -> onLoop(() -> ScriptedTargets.response(200, receipt)
                            .subscribe(emitter::onNext, emitter::tryOnError, emitter::onComplete)));
        }

        private void fail(final FlowableEmitter<RelayEvent> emitter, final Reason reason, final long delayMillis) {
            schedule(delayMillis, () -> onLoop(() -> emitter.tryOnError(new TargetException(reason, "fault"))));
        }

        private void schedule(final long millis, final Runnable action) {
            clock.scheduleDirect(action, millis, TimeUnit.MILLISECONDS);
        }

        private void onLoop(final Runnable action) {
            loop.scheduleDirect(action);
        }
    }
}
