package org.balsambank.standin.experiment;

/** The compared policies that enforce a rate across VMs. Immutable and thread-safe. */
enum RatePolicy {
    /** The owner of the team's rate lends shares of it to the other VMs. */
    SHARES,
    /** Each VM enforces an equal fraction of the rate. */
    FIXED_SPLIT,
    /** Each request takes one call to the owner of the rate. */
    CALL_PER_REQUEST,
    /** Each VM enforces the full rate. */
    FULL_RATE
}
