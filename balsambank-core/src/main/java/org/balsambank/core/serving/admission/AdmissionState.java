package org.balsambank.core.serving.admission;

/**
 * The inputs and the result of one evaluation of the load of a service, for the decision log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offered the units per second that callers offer to the reachable part of the fleet
 * @param begun the units per second of requests whose response begins
 * @param waitMillis the time that requests wait until their response begins
 * @param targetMillis the time to keep
 * @param limit the units per second to admit, infinite as long as no limit is known
 * @param rejecting whether more is offered than admitted
 */
record AdmissionState(
        double offered, double begun, double waitMillis, double targetMillis, double limit, boolean rejecting) {
    static final AdmissionState IDLE = new AdmissionState(0, 0, 0, 0, Double.POSITIVE_INFINITY, false);
}
