package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests a fleet whose callers send the same requests again and again while responses are lost, in virtual time.
 * Confined to one thread.
 */
final class LostResponseTest {
    private static final List<String> PATHS = List.of("/safe/", "/unsafe/");
    private static final int REQUESTS = 8;
    private static final int TARGETS = 6;
    private static final long TROUBLE_MILLIS = 10_000;
    private static final long RECOVERY_MILLIS = 10_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final int TOLERATED_SHARE = 500;
    private static final int TOLERATED_CRASHES = 3;
    private static final int TOLERATED_RETRIES = 3;
    private static final long TOKENS = 100;
    private static final long DEADLY_TOKENS = 99;

    private final Random random = new Random(1);
    private final List<FakeCaller> callers = new ArrayList<>();
    private int vms;
    private TestFleet fleet;
    private FaultyTargets targets;

    // Guards against a sound request that is refused as poison after lost responses of targets that live on, or that
    // stopped for other reasons.
    @ParameterizedTest
    @CsvSource({
        "GARBLE,1", "GARBLE,7", "GARBLE,72",
        "TRUNCATE,1", "TRUNCATE,7", "TRUNCATE,72",
        "RESET,1", "RESET,7", "RESET,72",
        "STOP,1", "STOP,7", "STOP,72",
        "CUT,1", "CUT,7", "CUT,72"
    })
    void requestThatIsSentAgainAndAgainIsServedBesideLostResponses(
            final FaultyTargets.Trouble trouble, final int vmCount) {
        start(vmCount);
        poll(trouble, TROUBLE_MILLIS);
        assertServed();
    }

    // Guards against the same, if one kind of trouble follows the other.
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 72})
    void requestThatIsSentAgainAndAgainIsServedBesideLostResponsesOfAllKinds(final int vmCount) {
        start(vmCount);
        for (final FaultyTargets.Trouble trouble : FaultyTargets.Trouble.values()) {
            poll(trouble, TROUBLE_MILLIS / 2);
        }
        assertServed();
    }

    // Guards against BUDGET: a request that crashes each target is let through too often, as losses are no crashes.
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 72})
    void requestThatCrashesTargetsIsRefusedBesideLostResponses(final int vmCount) {
        start(vmCount);
        final Fingerprint deadly = new Fingerprint("f/unsafe/" + DEADLY_TOKENS);
        targets.crashOn(deadly);
        for (final FaultyTargets.Trouble trouble : FaultyTargets.Trouble.values()) {
            targets.begin(trouble);
            for (long end = targets.nowMillis() + 15_000; targets.nowMillis() < end; targets.run(50)) {
                send("/unsafe/", DEADLY_TOKENS);
                callers.add(send("/safe/", TOKENS));
            }
        }
        assertFewDeadlyRetries();
    }

    // Guards against BUDGET: a request that comes to all VMs at the same moment, after a pause, is tried by all of
    // them.
    @ParameterizedTest
    @ValueSource(ints = {7, 72})
    void requestThatCrashesTargetsIsTriedByOneVmThoughItComesToAllAtOnce(final int vmCount) {
        start(vmCount);
        targets.crashOn(new Fingerprint("f/unsafe/" + DEADLY_TOKENS));
        for (int round = 0; round < 20; round++) {
            for (int vm = 0; vm < vms; vm++) {
                sendTo(vm, "/unsafe/", DEADLY_TOKENS);
            }
            targets.run(6_000);
        }
        assertFewDeadlyRetries();
    }

    // Guards against BUDGET: a request that crashes each target is tried anew after each kill of all VMs.
    @Test
    void requestThatCrashesTargetsIsRefusedBesideLostResponsesAndKills() {
        start(7);
        targets.crashOn(new Fingerprint("f/unsafe/" + DEADLY_TOKENS));
        targets.begin(FaultyTargets.Trouble.TRUNCATE);
        for (int kill = 0; kill < 4; kill++) {
            sendDeadly(12_000);
            fleet.restartAll();
            targets.run(2 * STABLE_MILLIS);
        }
        assertFewDeadlyRetries();
    }

    // Guards against an innocent request that stays refused, as it was in flight in the crashes of another one.
    @Test
    void requestThatWasInFlightInTheCrashesOfAnotherIsFreed() {
        start(7);
        targets.crashOn(new Fingerprint("f/unsafe/" + DEADLY_TOKENS));
        for (int vm = 0; vm < vms; vm++) {
            for (int i = 0; i < 5; i++) {
                sendTo(vm, "/unsafe/", DEADLY_TOKENS);
                sendTo(vm, "/unsafe/", TOKENS);
            }
        }
        targets.run(RECOVERY_MILLIS / 2);
        poll(FaultyTargets.Trouble.NONE, RECOVERY_MILLIS);
        callers.clear();
        poll(FaultyTargets.Trouble.NONE, RECOVERY_MILLIS);
        assertEquals(0, refused());
    }

    // Guards against a verdict that an operator can't lift, as the VMs save it again.
    @Test
    void verdictEndsOnAllVmsWhenItsKeyIsDeleted() {
        start(7);
        final Fingerprint deadly = new Fingerprint("f/unsafe/" + DEADLY_TOKENS);
        targets.crashOn(deadly);
        for (int i = 0; i < 5; i++) {
            send("/unsafe/", DEADLY_TOKENS);
            targets.run(300);
        }
        targets.mend();
        targets.run(500);
        assertEquals(ErrorKind.POISON_REQUEST, send("/unsafe/", DEADLY_TOKENS).rejection());
        fleet.removeEntry("crash/requests/" + deadly);
        targets.run(STABLE_MILLIS);
        for (int vm = 0; vm < vms; vm++) {
            callers.add(sendTo(vm, "/unsafe/", DEADLY_TOKENS));
        }
        targets.run(STABLE_MILLIS);
        assertEquals(0, refused());
    }

    // Guards against a verdict that lasts for a day, though the request crashes targets no longer.
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 72})
    void requestThatNoLongerCrashesTargetsComesBackOnAllVms(final int vmCount) {
        start(vmCount);
        targets.crashOn(new Fingerprint("f/unsafe/" + DEADLY_TOKENS));
        sendDeadly(3 * STABLE_MILLIS);
        targets.mend();
        sendDeadly(80_000);
        callers.clear();
        for (int vm = 0; vm < vms; vm++) {
            callers.add(sendTo(vm, "/unsafe/", DEADLY_TOKENS));
        }
        targets.run(STABLE_MILLIS);
        assertEquals(0, refused());
    }

    // Guards against a verdict that returns with all VMs, though it was over: the store still has it.
    @Test
    void verdictThatIsOverDoesNotComeBackAfterAllVmsWereKilled() {
        start(7);
        targets.crashOn(new Fingerprint("f/unsafe/" + DEADLY_TOKENS));
        sendDeadly(3 * STABLE_MILLIS);
        targets.mend();
        sendDeadly(80_000);
        fleet.restartAll();
        targets.run(2 * STABLE_MILLIS);
        for (int vm = 0; vm < vms; vm++) {
            callers.add(sendTo(vm, "/unsafe/", DEADLY_TOKENS));
        }
        targets.run(STABLE_MILLIS);
        assertEquals(0, refused());
    }

    private void sendDeadly(final long millis) {
        for (long end = targets.nowMillis() + millis; targets.nowMillis() < end; targets.run(50)) {
            send("/unsafe/", DEADLY_TOKENS);
        }
    }

    private void start(final int vmCount) {
        vms = vmCount;
        fleet = new TestFleet(vms, 0);
        targets = new FaultyTargets(fleet, TARGETS, random);
        targets.run(1_000);
    }

    private void assertServed() {
        targets.begin(FaultyTargets.Trouble.NONE);
        poll(FaultyTargets.Trouble.NONE, RECOVERY_MILLIS);
        final long sent = callers.size();
        final long refused = refused();
        callers.clear();
        poll(FaultyTargets.Trouble.NONE, RECOVERY_MILLIS / 2);
        final String seen = refused + " of " + sent + " requests refused, later " + refused() + " of " + callers.size();
        assertTrue(refused * TOLERATED_SHARE <= sent, seen);
        assertEquals(0, refused(), seen);
    }

    private long refused() {
        return callers.stream()
                .flatMap(caller -> caller.rejections.stream())
                .filter(kind -> kind == ErrorKind.POISON_REQUEST)
                .count();
    }

    private void poll(final FaultyTargets.Trouble trouble, final long millis) {
        targets.begin(trouble);
        for (long end = targets.nowMillis() + millis; targets.nowMillis() < end; targets.run(10)) {
            callers.add(send(PATHS.get(random.nextInt(PATHS.size())), TOKENS + random.nextInt(REQUESTS / 2)));
        }
    }

    private FakeCaller send(final String path, final long tokens) {
        return sendTo(random.nextInt(vms), path, tokens);
    }

    private FakeCaller sendTo(final int vm, final String path, final long tokens) {
        return fleet.sendRequest(TestFleet.vm(vm), path, Optional.empty(), tokens);
    }

    private void assertFewDeadlyRetries() {
        assertTrue(targets.crashMillis.size() >= 2, "crashes " + targets.crashMillis);
        if (targets.crashMillis.size() < TOLERATED_CRASHES) {
            return;
        }
        final long bound = targets.crashMillis.get(TOLERATED_CRASHES - 1) + STABLE_MILLIS;
        final long late = targets.deadlyMillis.stream().filter(at -> at > bound).count();
        assertTrue(late <= TOLERATED_RETRIES, late + " retries, crashes " + targets.crashMillis);
    }
}
