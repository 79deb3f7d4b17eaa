package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests a fleet whose callers send prompts with a part that crashes each target, in virtual time. Confined to one
 * thread.
 */
final class DeadlyPromptPartTest {
    private static final String STREAM = "/stream/";
    private static final int VMS = 7;
    private static final int TARGETS = 13;
    private static final long STABLE_MILLIS = 3_000;
    private static final long TRIAL_INTERVAL_MILLIS = 600_000;
    private static final int TOLERATED_CRASHES = 5;
    private static final int TOLERATED_REQUESTS = 3;
    private static final PromptPartId FIRST = new PromptPartId("f1");
    private static final PromptPartId CALLER = new PromptPartId("c0");
    private static final PromptPartId DEADLY = new PromptPartId("d0");
    private static final PromptPartId OTHER_DEADLY = new PromptPartId("d1");

    private final TestFleet fleet = new TestFleet(VMS, TARGETS);
    private final CrashingTargets targets = new CrashingTargets(fleet, Set.of(DEADLY, OTHER_DEADLY));
    private final List<FakeCaller> sound = new ArrayList<>();
    /** The callers of the last requests with the deadly part, one at each VM. */
    private final List<FakeCaller> everywhere = new ArrayList<>();

    private Random random = new Random(1);

    // Guards against requests with one part in common that crash target after target, as no two of them are alike.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void requestsWithADeadlyPartStopReachingTargets(final int seed) {
        random = new Random(seed);
        sendFor(20_000, 0.02, List.of(DEADLY));
        assertFewDeadlyRequestsAfterTheFifthCrash();
    }

    // Guards against a verdict on a sound part that was in flight in each crash, as it comes with the deadly one.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void soundRequestsThatShareOtherPartsWithDeadlyOnesAreServed(final int seed) {
        random = new Random(seed);
        sendFor(20_000, 0.02, List.of(DEADLY));
        assertEquals(0, refusedSound());
    }

    // Guards against targets that crash on requests which were sent before their part became suspect.
    @Test
    void requestsThatWaitAtTargetsAreGivenUpWhenTheirPartBecomesSuspect() {
        targets.waitMillis = 1_000;
        send(0, List.of(FIRST, DEADLY));
        targets.run(2_000);
        send(1, List.of(FIRST, DEADLY));
        targets.run(900);
        final List<FakeCaller> waiting = new ArrayList<>();
        for (int vm = 2; vm < VMS; vm++) {
            waiting.add(send(vm, List.of(FIRST, DEADLY)));
        }
        final FakeCaller other = send(2, List.of(FIRST, CALLER));
        targets.run(2_000);
        assertEquals(2, targets.crashMillis.size());
        waiting.forEach(caller -> assertEquals(ErrorKind.TARGET_LOST, caller.rejection()));
        assertEquals(List.of(), other.rejections);
    }

    // Guards against two deadly parts at once that hide behind a sound part which comes with both.
    @Test
    void twoDeadlyPartsAtOnceAreBothRefused() {
        sendFor(20_000, 0.02, List.of(DEADLY, OTHER_DEADLY));
        final long sent = targets.deadlySendMillis.stream()
                .filter(at -> at > targets.nowMillis() - 5_000)
                .count();
        assertEquals(0, sent);
        assertEquals(0, refusedSound());
    }

    // Guards against a VM that starts after the crashes and sends the deadly part again.
    @Test
    void vmThatStartsLaterRefusesADeadlyPart() {
        sendFor(8_000, 0.02, List.of(DEADLY));
        fleet.kill(TestFleet.vm(0));
        targets.run(2_000);
        fleet.start(TestFleet.vm(VMS));
        targets.run(STABLE_MILLIS);
        final FakeCaller caller = send(VMS, List.of(FIRST, CALLER, DEADLY));
        assertEquals(ErrorKind.POISON_PROMPT_PART, caller.rejection());
    }

    // Guards against BUDGET: a part that crashes targets is let through again after all VMs were killed at once.
    @Test
    void deadlyPartIsRefusedAfterAllVmsWereKilled() {
        sendFor(8_000, 0.02, List.of(DEADLY));
        final int before = targets.crashMillis.size();
        for (int kill = 0; kill < 3; kill++) {
            fleet.restartAll();
            targets.run(2 * STABLE_MILLIS);
            sendEverywhere(1_000);
            assertTrue(refusedEverywhere());
        }
        assertEquals(before, targets.crashMillis.size());
    }

    // Guards against a sound part that was suspect once and is refused after all VMs were killed, though it was
    // cleared.
    @Test
    void partThatWasClearedIsServedAfterAllVmsWereKilled() {
        sendFor(8_000, 0.02, List.of(DEADLY));
        targets.mend();
        fleet.advance(TRIAL_INTERVAL_MILLIS);
        sendEverywhere(2_000);
        assertTrue(servedEverywhere());
        fleet.restartAll();
        targets.run(2 * STABLE_MILLIS);
        sendEverywhere(1_000);
        assertTrue(servedEverywhere());
    }

    // Guards against a verdict on a part that comes with a deadly one, as the evidence against the others was lost.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void soundRequestsAreServedAfterAllVmsWereKilled(final int seed) {
        random = new Random(seed);
        sendFor(8_000, 0.02, List.of(DEADLY, OTHER_DEADLY));
        fleet.restartAll();
        targets.run(2 * STABLE_MILLIS);
        sendFor(8_000, 0.02, List.of(DEADLY, OTHER_DEADLY));
        assertEquals(0, refusedSound());
    }

    // Guards against a verdict on parts that were in flight when many targets were lost at once, twice.
    @Test
    void unrelatedLossesOfTargetsConvictNoPart() {
        for (int outage = 0; outage < 2; outage++) {
            sendFor(2_000, 0, List.of(DEADLY));
            for (int target = outage * 6; target < outage * 6 + 6; target++) {
                targets.crash(new TargetId("t" + target));
            }
            sendFor(5_000, 0, List.of(DEADLY));
        }
        assertEquals(0, refusedSound());
    }

    // Guards against a part that stays refused for good although targets no longer crash on it.
    @Test
    void partIsServedAgainAfterATrialThatATargetSurvived() {
        sendFor(8_000, 0.02, List.of(DEADLY));
        targets.mend();
        sendEverywhere(2_000);
        assertTrue(refusedEverywhere());
        fleet.advance(TRIAL_INTERVAL_MILLIS);
        sendEverywhere(2_000);
        assertTrue(servedEverywhere());
    }

    // Guards against a trial at each VM, or again and again, of a part that still crashes targets.
    @Test
    void partThatStillCrashesTargetsCostsOneTargetAnInterval() {
        sendFor(8_000, 0.02, List.of(DEADLY));
        for (int interval = 0; interval < 3; interval++) {
            fleet.advance(TRIAL_INTERVAL_MILLIS);
            final int before = targets.crashMillis.size();
            sendEverywhere(10_000);
            assertEquals(1, targets.crashMillis.size() - before);
            assertTrue(refusedEverywhere());
        }
    }

    private void sendEverywhere(final long millis) {
        for (long end = targets.nowMillis() + millis; targets.nowMillis() < end; targets.run(100)) {
            everywhere.clear();
            for (int vm = 0; vm < VMS; vm++) {
                everywhere.add(send(vm, List.of(FIRST, CALLER, DEADLY)));
            }
        }
    }

    private boolean refusedEverywhere() {
        return everywhere.stream().allMatch(caller -> caller.rejections.contains(ErrorKind.POISON_PROMPT_PART));
    }

    private boolean servedEverywhere() {
        return everywhere.stream().allMatch(caller -> caller.rejections.isEmpty());
    }

    private void assertFewDeadlyRequestsAfterTheFifthCrash() {
        assertTrue(targets.crashMillis.size() >= 2, "crashes " + targets.crashMillis);
        if (targets.crashMillis.size() < TOLERATED_CRASHES) {
            return;
        }
        final long bound = targets.crashMillis.get(TOLERATED_CRASHES - 1) + STABLE_MILLIS;
        final long late =
                targets.deadlySendMillis.stream().filter(at -> at > bound).count();
        assertTrue(late <= TOLERATED_REQUESTS, late + " requests, crashes " + targets.crashMillis);
    }

    private long refusedSound() {
        return sound.stream()
                .flatMap(caller -> caller.rejections.stream())
                .filter(kind -> kind == ErrorKind.POISON_PROMPT_PART)
                .count();
    }

    /**
     * Sends some 30 requests a second to random VMs, a few of them of the caller that also sends the deadly parts.
     *
     * @param millis how long
     * @param deadlyShare the probability of a deadly request in each step of 10 ms
     * @param deadly the deadly parts, sent in turn
     */
    private void sendFor(final long millis, final double deadlyShare, final List<PromptPartId> deadly) {
        int next = 0;
        for (long end = targets.nowMillis() + millis; targets.nowMillis() < end; targets.run(10)) {
            final int vm = random.nextInt(VMS);
            if (random.nextDouble() < deadlyShare) {
                send(vm, List.of(FIRST, CALLER, deadly.get(next++ % deadly.size())));
            } else if (random.nextDouble() < 0.007) {
                sound.add(send(vm, List.of(FIRST, CALLER)));
            } else if (random.nextDouble() < 0.3) {
                sound.add(send(vm, List.of(FIRST, new PromptPartId("e" + random.nextInt(60)))));
            }
        }
    }

    private FakeCaller send(final int vm, final List<PromptPartId> parts) {
        return fleet.sendUniqueRequest(TestFleet.vm(vm), STREAM, 2_000, parts);
    }
}
