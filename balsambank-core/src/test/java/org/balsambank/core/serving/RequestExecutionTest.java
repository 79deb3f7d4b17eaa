package org.balsambank.core.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the steps of one request, in virtual time. Confined to one thread. */
final class RequestExecutionTest {
    private static final String UNSAFE = "/unsafe/";
    private static final String SAFE = "/safe/";
    private static final String STREAM = "/stream/";

    private final TestFleet fleet = new TestFleet(1, 3);

    RequestExecutionTest() {
        for (int i = 0; i < 3; i++) {
            fleet.announce(fleet.plain(i, false));
        }
        fleet.advance(1_000);
    }

    @Test
    void anUnsafeRequestIsNotSentAgainAfterItsConnectionWasLost() {
        final FakeCaller caller = call(UNSAFE);
        fleet.lastSend().end(AttemptEnd.LOST);
        assertEquals(1, fleet.sends.size());
        assertEquals(ErrorKind.TARGET_LOST, caller.refusal());
    }

    @Test
    void anUnsafeRequestGoesElsewhereAfterATargetHasNotRunIt() {
        final FakeCaller caller = call(UNSAFE);
        final TargetId first = fleet.lastSend().target();
        assertFalse(fleet.lastSend().answer(503, true));
        assertEquals(2, fleet.sends.size());
        assertNotEquals(first, fleet.lastSend().target());
        assertTrue(fleet.lastSend().answer(200, false));
        assertEquals(List.of(), caller.refusals);
    }

    @Test
    void aPromiseIsGivenOnlyIfNothingRan() {
        final FakeCaller refused = call(UNSAFE);
        for (int i = 0; i < 10 && refused.refusals.isEmpty(); i++) {
            fleet.lastSend().answer(503, true);
        }
        assertEquals(ErrorKind.NO_TARGET, refused.refusal());
        assertTrue(refused.retryAfter.isPresent());

        final FakeCaller lost = call(UNSAFE);
        fleet.lastSend().answer(503, true);
        fleet.lastSend().end(AttemptEnd.LOST);
        assertEquals(ErrorKind.TARGET_LOST, lost.refusal());
    }

    @Test
    void aSafeRequestRunsOnAnotherTargetAfterAFailureAsOftenAsItsRouteAllows() {
        final FakeCaller caller = call(SAFE);
        assertFalse(fleet.lastSend().answer(500, false));
        assertEquals(2, fleet.sends.size());
        assertTrue(fleet.lastSend().answer(500, false));
        assertEquals(2, fleet.sends.size());
        assertEquals(List.of(), caller.refusals);
    }

    @Test
    void aSuccessWithoutSealIsNotPassedOn() {
        final FakeCaller caller = call(UNSAFE);
        assertFalse(fleet.lastSend().answerWithoutSeal());
        assertEquals(ErrorKind.TARGET_LOST, caller.refusal());
    }

    @Test
    void aBegunAnswerThatBreaksIsBrokenOff() {
        final FakeCaller caller = call(STREAM);
        fleet.lastSend().begin();
        fleet.lastSend().end(AttemptEnd.BROKEN);
        assertEquals(1, caller.brokenOff);
        assertEquals(List.of(), caller.refusals);
    }

    @Test
    void aCallerThatLeavesEndsItsSend() {
        final FakeCaller caller = call(UNSAFE);
        caller.run.callerGone();
        assertTrue(fleet.lastSend().cancelled);
        assertEquals(List.of(), caller.refusals);
    }

    @Test
    void theFinalAnswerComesAtTheDeadline() {
        final FakeCaller caller = call(UNSAFE);
        fleet.advance(3_999);
        assertEquals(ErrorKind.DEADLINE_DURING_RUN, caller.refusal());
        assertTrue(fleet.lastSend().cancelled);
    }

    @Test
    void aRequestThatCrashesTargetsIsRefusedAfterTheSecond() {
        call(UNSAFE);
        fleet.lastSend().end(AttemptEnd.LOST);
        call(UNSAFE);
        fleet.lastSend().end(AttemptEnd.LOST);
        final Set<TargetId> crashed = new HashSet<>();
        fleet.sends.forEach(send -> crashed.add(send.target()));
        assertEquals(2, crashed.size());
        assertEquals(ErrorKind.POISON_REQUEST, call(UNSAFE).refusal());
    }

    @Test
    void nothingGoesToTargetsThatLeaveOrToDomainsThatAreOut() {
        fleet.announce(fleet.plain(0, true));
        fleet.put("domain/d1", new EntryUpdate.DomainUpdate(new FailureDomain("d1"), true));
        fleet.advance(1_000);
        for (int i = 0; i < 20; i++) {
            call(UNSAFE);
            assertEquals(new TargetId("p2"), fleet.lastSend().target());
        }
        fleet.remove("domain/d1");
        fleet.advance(1_000);
        final Set<TargetId> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            call(UNSAFE);
            used.add(fleet.lastSend().target());
        }
        assertEquals(Set.of(new TargetId("p1"), new TargetId("p2")), used);
    }

    @Test
    void aWithdrawnKeyIsRefusedAndARouteThatNeverWasIsUnknown() {
        fleet.plan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertEquals(ErrorKind.UNAUTHENTICATED, call(UNSAFE).refusal());
        assertEquals(ErrorKind.UNKNOWN_ROUTE, call("/nowhere/").refusal());
        assertEquals(List.of(), call("/open/").refusals);
    }

    @Test
    void aRequestWhoseKeyIsWithdrawnBetweenTwoSendsGetsItsFinalAnswerAtOnce() {
        final FakeCaller caller = call(UNSAFE);
        fleet.plan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertFalse(fleet.lastSend().answer(503, true));
        assertEquals(ErrorKind.UNAUTHENTICATED, caller.refusal());
        assertEquals(1, fleet.sends.size());
    }

    @Test
    void anOlderPlanDoesNotReplaceANewerOne() {
        fleet.plan(5, List.of("another-key"), 1_000_000);
        fleet.plan(3, List.of(TestFleet.KEY), 1_000_000);
        fleet.advance(1_000);
        assertEquals(ErrorKind.UNAUTHENTICATED, call(UNSAFE).refusal());
    }

    private FakeCaller call(final String path) {
        return fleet.call(TestFleet.vm(0), path, Optional.empty(), 100);
    }
}
