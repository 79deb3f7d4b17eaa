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

/** Tests the handling of one request, in virtual time. Confined to one thread. */
final class RequestExecutionTest {
    private static final String UNSAFE = "/unsafe/";
    private static final String SAFE = "/safe/";
    private static final String STREAM = "/stream/";
    private static final int DEADLINE_MILLIS = 4_000;

    private final TestFleet fleet = new TestFleet(1, 3);

    RequestExecutionTest() {
        for (int i = 0; i < 3; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.advance(1_000);
    }

    @Test
    void unsafeRequestIsNotRetriedAfterALostConnection() {
        final FakeCaller caller = call(UNSAFE);
        fleet.lastAttempt().end(AttemptEnd.LOST);
        assertEquals(1, fleet.attempts.size());
        assertEquals(ErrorKind.TARGET_LOST, caller.rejection());
    }

    @Test
    void unsafeRequestIsRetriedElsewhereIfTheTargetDidNotExecuteIt() {
        final FakeCaller caller = call(UNSAFE);
        final TargetId first = fleet.lastAttempt().target();
        assertFalse(fleet.lastAttempt().respond(503, true));
        assertEquals(2, fleet.attempts.size());
        assertNotEquals(first, fleet.lastAttempt().target());
        assertTrue(fleet.lastAttempt().respond(200, false));
        assertEquals(List.of(), caller.rejections);
    }

    @Test
    void noTargetWithRetryAfterIsReturnedOnlyIfNothingWasExecuted() {
        final FakeCaller rejected = call(UNSAFE);
        for (int i = 0; i < 10 && rejected.rejections.isEmpty(); i++) {
            fleet.lastAttempt().respond(503, true);
        }
        assertEquals(ErrorKind.NO_TARGET, rejected.rejection());
        assertTrue(rejected.retryAfter.isPresent());

        final FakeCaller lost = call(UNSAFE);
        fleet.lastAttempt().respond(503, true);
        fleet.lastAttempt().end(AttemptEnd.LOST);
        assertEquals(ErrorKind.TARGET_LOST, lost.rejection());
    }

    @Test
    void safeRequestIsRetriedAfterAFailureAsOftenAsItsRouteAllows() {
        final FakeCaller caller = call(SAFE);
        assertFalse(fleet.lastAttempt().respond(500, false));
        assertEquals(2, fleet.attempts.size());
        assertTrue(fleet.lastAttempt().respond(500, false));
        assertEquals(2, fleet.attempts.size());
        assertEquals(List.of(), caller.rejections);
    }

    @Test
    void successWithoutSealIsNotForwarded() {
        final FakeCaller caller = call(UNSAFE);
        assertFalse(fleet.lastAttempt().respondWithoutSeal());
        assertEquals(ErrorKind.TARGET_LOST, caller.rejection());
    }

    @Test
    void responseThatIsCutShortAfterItsHeadIsAborted() {
        final FakeCaller caller = call(STREAM);
        fleet.lastAttempt().startResponse();
        fleet.lastAttempt().end(AttemptEnd.BROKEN);
        assertEquals(1, caller.aborts);
        assertEquals(List.of(), caller.rejections);
    }

    @Test
    void disconnectedCallerCancelsItsAttempt() {
        final FakeCaller caller = call(UNSAFE);
        caller.request.callerGone();
        assertTrue(fleet.lastAttempt().cancelled);
        assertEquals(List.of(), caller.rejections);
    }

    // Guards against a team that pays for requests which no target got, as their callers had left.
    @Test
    void teamGetsItsUnitsBackIfItsCallerLeavesBeforeTheRequestIsWritten() {
        fleet.writePlan(2, List.of(TestFleet.KEY), 2_000);
        fleet.advance(3_000);
        final FakeCaller left = callUntilRejected();
        fleet.lastAttempt().written = false;
        left.request.callerGone();
        assertEquals(List.of(), call(UNSAFE).rejections);
        assertEquals(ErrorKind.RATE_EXCEEDED, call(UNSAFE).rejection());
    }

    @Test
    void teamPaysIfItsCallerLeavesAfterTheRequestIsWritten() {
        fleet.writePlan(2, List.of(TestFleet.KEY), 2_000);
        fleet.advance(3_000);
        final FakeCaller left = callUntilRejected();
        left.request.callerGone();
        assertEquals(ErrorKind.RATE_EXCEEDED, call(UNSAFE).rejection());
    }

    @Test
    void finalResponseIsSentAtTheDeadline() {
        final FakeCaller caller = call(UNSAFE);
        fleet.advance(DEADLINE_MILLIS - 1);
        assertEquals(ErrorKind.DEADLINE_DURING_RUN, caller.rejection());
        assertTrue(fleet.lastAttempt().cancelled);
    }

    // Guards against LOST: a response is broken off some ms before its caller's deadline.
    @Test
    void responseInProgressIsNotBrokenOffBeforeTheDeadlineOfItsCaller() {
        final FakeCaller caller = call(UNSAFE);
        fleet.advance(DEADLINE_MILLIS - 20);
        fleet.lastAttempt().startResponse();
        fleet.advance(20);
        assertEquals(0, caller.aborts);
        fleet.lastAttempt().sendChunk();
        fleet.lastAttempt().end(AttemptEnd.COMPLETE);
        fleet.advance(1_000);
        assertEquals(0, caller.aborts);
    }

    // Guards against a caller that gets its final response after its deadline, as a head without body had come.
    @Test
    void finalResponseIsSentAtTheDeadlineAlthoughAHeadHasCome() {
        final FakeCaller caller = call(STREAM);
        fleet.advance(100);
        fleet.lastAttempt().sendHead();
        fleet.advance(DEADLINE_MILLIS - 101);
        assertEquals(1, caller.aborts);
        assertTrue(fleet.lastAttempt().cancelled);
    }

    @Test
    void responseThatItsTargetDoesNotEndIsBrokenOffSoonAfterTheDeadline() {
        final FakeCaller caller = call(UNSAFE);
        fleet.lastAttempt().startResponse();
        fleet.advance(DEADLINE_MILLIS + 200);
        assertEquals(1, caller.aborts);
        assertTrue(fleet.lastAttempt().cancelled);
    }

    @Test
    void requestThatCrashedTwoTargetsIsRejected() {
        call(UNSAFE);
        fleet.lastAttempt().end(AttemptEnd.LOST);
        call(UNSAFE);
        fleet.lastAttempt().end(AttemptEnd.LOST);
        final Set<TargetId> crashed = new HashSet<>();
        fleet.attempts.forEach(attempt -> crashed.add(attempt.target()));
        assertEquals(2, crashed.size());
        assertEquals(ErrorKind.POISON_REQUEST, call(UNSAFE).rejection());
    }

    @Test
    void noRequestsGoToTargetsThatShutDownOrToDomainsOutOfService() {
        fleet.announce(fleet.plainTarget(0, true));
        fleet.writeEntry("domain/d1", new EntryUpdate.DomainUpdate(new FailureDomain("d1"), true));
        fleet.advance(1_000);
        for (int i = 0; i < 20; i++) {
            call(UNSAFE);
            assertEquals(new TargetId("p2"), fleet.lastAttempt().target());
        }
        fleet.removeEntry("domain/d1");
        fleet.advance(1_000);
        final Set<TargetId> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            call(UNSAFE);
            used.add(fleet.lastAttempt().target());
        }
        assertEquals(Set.of(new TargetId("p1"), new TargetId("p2")), used);
    }

    @Test
    void withdrawnKeyIsRejectedAndMissingRouteIsUnknown() {
        fleet.writePlan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertEquals(ErrorKind.UNAUTHENTICATED, call(UNSAFE).rejection());
        assertEquals(ErrorKind.UNKNOWN_ROUTE, call("/nowhere/").rejection());
        assertEquals(List.of(), call("/open/").rejections);
    }

    @Test
    void requestIsRejectedImmediatelyIfItsKeyIsWithdrawnBetweenAttempts() {
        final FakeCaller caller = call(UNSAFE);
        fleet.writePlan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertFalse(fleet.lastAttempt().respond(503, true));
        assertEquals(ErrorKind.UNAUTHENTICATED, caller.rejection());
        assertEquals(1, fleet.attempts.size());
    }

    @Test
    void olderPlanDoesNotReplaceNewerOne() {
        fleet.writePlan(5, List.of("another-key"), 1_000_000);
        fleet.writePlan(3, List.of(TestFleet.KEY), 1_000_000);
        fleet.advance(1_000);
        assertEquals(ErrorKind.UNAUTHENTICATED, call(UNSAFE).rejection());
    }

    /** Uses up the rate of the team; returns the last caller whose request was admitted. */
    private FakeCaller callUntilRejected() {
        FakeCaller admitted = call(UNSAFE);
        for (FakeCaller next = call(UNSAFE); next.rejections.isEmpty(); next = call(UNSAFE)) {
            admitted = next;
        }
        return admitted;
    }

    private FakeCaller call(final String path) {
        return fleet.sendRequest(TestFleet.vm(0), path, Optional.empty(), 100);
    }
}
