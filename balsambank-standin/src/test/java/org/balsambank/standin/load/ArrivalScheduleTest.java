package org.balsambank.standin.load;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the generated arrivals. */
class ArrivalScheduleTest {
    private static final Profile RIBERA = Profile.of("ribera");
    private static final double SECONDS = 100;
    private static final double POPULARITY = 2;

    @Test
    void sameSeedGivesSameSchedule() {
        assertEquals(
                ArrivalSchedule.generate(RIBERA, 10, 1, POPULARITY, 7),
                ArrivalSchedule.generate(RIBERA, 10, 1, POPULARITY, 7));
        assertNotEquals(
                ArrivalSchedule.generate(RIBERA, 10, 1, POPULARITY, 7),
                ArrivalSchedule.generate(RIBERA, 10, 1, POPULARITY, 8));
    }

    @Test
    void callsAreOrderedBySendTime() {
        final List<ScheduledCall> calls = ArrivalSchedule.generate(RIBERA, 10, 1, POPULARITY, 7);
        for (int i = 1; i < calls.size(); i++) {
            assertTrue(calls.get(i - 1).offsetNanos() <= calls.get(i).offsetNanos());
        }
    }

    @Test
    void teamSendsItsOfferedLoad() {
        final List<ScheduledCall> calls = ArrivalSchedule.generate(RIBERA, SECONDS, 1, POPULARITY, 7);
        final TeamProfile theses = RIBERA.teams().get(0);
        final long sent = calls.stream().filter(call -> call.team() == theses).count();
        final double planned = theses.limit().perSecond() * theses.demand() * SECONDS;
        assertTrue(Math.abs(sent - planned) < 4 * Math.sqrt(planned), "sent " + sent + ", planned " + planned);
    }

    @Test
    void popularAdaptersGetMostCalls() {
        final List<ScheduledCall> calls = ArrivalSchedule.generate(RIBERA, SECONDS, 1, POPULARITY, 7);
        final long popular =
                calls.stream().filter(call -> call.adapterRank() < 10).count();
        final long distinct =
                calls.stream().map(ScheduledCall::model).distinct().count();
        assertTrue(popular > calls.size() / 2, "calls of the ten most popular: " + popular);
        assertTrue(distinct > 100, "distinct adapters: " + distinct);
    }
}
