package org.balsambank.core.serving.duty;

/** A kind of calls that one VM at a time makes. Immutable and thread-safe. */
public enum DutyKind {
    /** Reports the number of requests of each team that targets began to run. */
    USAGE_REPORT,
    /** Orders the number of targets of each service in each failure domain. */
    AUTOSCALE
}
