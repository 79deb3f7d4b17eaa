package org.balsambank.core.serving;

import java.util.Optional;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.target.TargetEntry;

/** What one entry of the key-value service says. Immutable and thread-safe. */
public sealed interface Fact {
    /**
     * A version of the plan.
     *
     * @param plan the plan
     */
    record PlanFact(ServingPlan plan) implements Fact {}

    /**
     * A target has announced itself, or its announcement is gone.
     *
     * @param id the target
     * @param entry the announcement, if it exists
     */
    record TargetFact(TargetId id, Optional<TargetEntry> entry) implements Fact {}

    /**
     * A failure domain is to get nothing more, or may get work again.
     *
     * @param domain the failure domain
     * @param out true while it is to get nothing
     */
    record DomainFact(FailureDomain domain, boolean out) implements Fact {}

    /**
     * A version of an adapter has been announced.
     *
     * @param adapter the adapter
     * @param version the version
     */
    record VersionFact(AdapterKey adapter, long version) implements Fact {}

    /**
     * An entry that can't be used.
     *
     * @param reason why
     */
    record Unusable(String reason) implements Fact {}
}
