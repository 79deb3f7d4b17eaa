package org.balsambank.standin.load;

/**
 * A call of the schedule.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offsetNanos the planned send time, relative to the start of the schedule
 * @param team the team that sends it
 * @param adapter the rank of the adapter by popularity, from 0
 * @param prompt the prompt
 * @param kind the kind of call
 */
record ScheduledCall(long offsetNanos, TeamProfile team, int adapter, String prompt, Kind kind) {
    /** The kind of a call. */
    enum Kind {
        /** A completion without streaming. */
        COMPLETION,
        /** A streamed completion. */
        STREAM,
        /** A non-idempotent call to the plain service. */
        SERVICE
    }

    /**
     * Returns the model that the call requests.
     *
     * @return {@code adapter@version}
     */
    String model() {
        return team.adapter(adapter) + "@" + Profile.VERSION;
    }
}
