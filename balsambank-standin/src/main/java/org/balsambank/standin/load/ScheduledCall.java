package org.balsambank.standin.load;

/**
 * A call of the schedule.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offsetNanos the planned send time, relative to the start of the schedule
 * @param team the team that sends it
 * @param adapterRank the popularity rank of the adapter among those of the team, from 0
 * @param prompt the prompt of a completion; a service call does not send it
 * @param kind the kind of call
 */
record ScheduledCall(long offsetNanos, TeamProfile team, int adapterRank, String prompt, Kind kind) {
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
     * Returns the value of the model field of a completion request.
     *
     * @return {@code adapter@version}
     */
    String model() {
        return team.adapter(adapterRank) + "@" + Profile.VERSION;
    }
}
