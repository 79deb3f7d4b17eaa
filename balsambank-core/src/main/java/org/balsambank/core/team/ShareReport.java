package org.balsambank.core.team;

/**
 * The report with which a VM requests a share from the owner of a team's rate.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number increases with each report of a process
 * @param appliedNumber the number of the report whose grant the VM holds, 0 if none
 * @param rate the standby rate of that grant, in units per second
 * @param capacity the maximum number of units that the VM may hold
 * @param surgeCapacity the maximum number of units including a surge that has not ended, at least the capacity
 * @param level the number of units that it holds
 * @param returned the number of units that it has returned since its last report
 * @param demand the recent demand on this VM in units per second
 * @param waiting the number of units that waiting requests need
 * @param stock the number of units to hold in advance for expected requests
 */
record ShareReport(
        long number,
        long appliedNumber,
        double rate,
        double capacity,
        double surgeCapacity,
        double level,
        double returned,
        double demand,
        double waiting,
        double stock) {}
