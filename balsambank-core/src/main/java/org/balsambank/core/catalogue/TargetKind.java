package org.balsambank.core.catalogue;

/** The kind of a target. Immutable and thread-safe. */
public enum TargetKind {
    /** An engine that runs adapters on a base model. */
    MODEL_RUNNER,
    /** A plain service. */
    APPLICATION_RUNNER
}
