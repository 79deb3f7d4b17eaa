package org.balsambank.core.target;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.target.PoisonRequestRegistry.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the saving of requests that crash targets in the key-value service. Virtual time, confined to one thread. */
final class SavedPoisonRequestsTest {
    private static final Fingerprint FINGERPRINT = new Fingerprint("f1");
    private static final String KEY = "crash/requests/f1";

    private final TestScheduler clock = new TestScheduler();
    private final FakeKeyValueService store = new FakeKeyValueService(clock, 1);
    private final Vm first = new Vm("first", true, 0);
    private final Vm other = new Vm("other", false, 0);

    // Guards against evidence that is lost as all VMs are killed just after the crash: its observer writes it at once.
    @Test
    void observerSavesThoughAnotherVmDecides() {
        other.crash("b1");
        other.crash("b2");
        advance(Duration.ofMillis(300));
        assertEquals(Verdict.POISON, new Vm("later", false, 0).verdictAfterLoading());
    }

    @Test
    void requestThatCrashedOneTargetIsNotSaved() {
        other.crash("b1");
        advance(Duration.ofSeconds(5));
        assertEquals(Verdict.CLEAN, new Vm("later", false, 0).verdictAfterLoading());
    }

    @Test
    void crashesSavedByTwoVmsAtOnceAreAllKept() {
        for (final String boot : new String[] {"b1", "b2"}) {
            first.crash(boot);
            other.crash(boot);
        }
        first.crash("b3");
        other.crash("b4");
        advance(Duration.ofSeconds(5));
        assertEquals(4, new Vm("later", false, 0).crashesAfterLoading());
    }

    // Guards against a sound request that is refused for good, as its verdict starts anew with each start of a VM.
    @Test
    void verdictEndsADayAfterTheLastCrashAlsoOnVmsThatStartLater() {
        first.crash("b1");
        first.crash("b2");
        advance(Duration.ofHours(20));
        final Vm later = new Vm("later", false, 0);
        assertEquals(Verdict.POISON, later.verdictAfterLoading());
        advance(Duration.ofHours(4));
        assertEquals(Verdict.CLEAN, later.registry.verdict(FINGERPRINT));
        advance(Duration.ofSeconds(5));
        assertEquals(Verdict.CLEAN, new Vm("last", false, 0).verdictAfterLoading());
    }

    // Guards against a verdict that is lost on a VM whose wall clock is days ahead.
    @Test
    void verdictHoldsOnAVmWithAWrongClock() {
        first.crash("b1");
        first.crash("b2");
        advance(Duration.ofSeconds(5));
        final long threeDays = Duration.ofDays(3).toMillis();
        assertEquals(Verdict.POISON, new Vm("ahead", true, threeDays).verdictAfterLoading());
        assertEquals(Verdict.POISON, new Vm("behind", true, -threeDays).verdictAfterLoading());
    }

    @Test
    void unreadableValueIsIgnoredAndDeleted() {
        first.client
                .compareAndSwap(KEY, KeyValueStore.ABSENT, ByteString.copyFromUtf8("\u0001no"), Optional.empty())
                .subscribe();
        advance(Duration.ofSeconds(1));
        final Vm later = new Vm("later", true, 0);
        assertEquals(Verdict.CLEAN, later.verdictAfterLoading());
        advance(Duration.ofSeconds(5));
        first.client.read(KEY).subscribe(entry -> assertEquals(Optional.empty(), entry));
        advance(Duration.ofSeconds(1));
    }

    // Guards against a component that fails again and again on a value that another program has written.
    @Test
    void unreadableValueOfARequestWithCrashesIsReplaced() {
        first.crash("b1");
        first.crash("b2");
        first.client
                .compareAndSwap(KEY, KeyValueStore.ABSENT, ByteString.copyFromUtf8("\u0001no"), Optional.empty())
                .subscribe();
        advance(Duration.ofSeconds(5));
        assertEquals(Verdict.POISON, new Vm("later", false, 0).verdictAfterLoading());
    }

    private void advance(final Duration duration) {
        clock.advanceTimeBy(duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** One VM. */
    private final class Vm {
        private final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        private final FakeKeyValueStore client;
        private final PoisonRequestRegistry registry = new PoisonRequestRegistry(loop.timer());

        Vm(final String id, final boolean decides, final long clockErrorMillis) {
            client = new FakeKeyValueStore(store, new VmId(id), loop);
            new SavedPoisonRequests(
                            registry,
                            client,
                            subject -> decides,
                            loop.timer(),
                            () -> clock.now(TimeUnit.MILLISECONDS) + clockErrorMillis,
                            DecisionLog.NONE)
                    .loadAndRun()
                    .subscribe();
            advance(Duration.ofMillis(100));
        }

        void crash(final String boot) {
            registry.recordObserved(FINGERPRINT, new CrashId(new TargetId("t"), new BootId(boot)));
        }

        Verdict verdictAfterLoading() {
            advance(Duration.ofMillis(200));
            return registry.verdict(FINGERPRINT);
        }

        int crashesAfterLoading() {
            advance(Duration.ofMillis(200));
            return registry.crashes(FINGERPRINT).size();
        }
    }
}
