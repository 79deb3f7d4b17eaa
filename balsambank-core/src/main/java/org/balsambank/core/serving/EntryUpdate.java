package org.balsambank.core.serving;

import java.util.Optional;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.target.TargetAnnouncement;

/** What one entry of the key-value service says. Immutable and thread-safe. */
public sealed interface EntryUpdate {
    /**
     * A version of the plan.
     *
     * @param plan the plan
     */
    record PlanUpdate(ServingPlan plan) implements EntryUpdate {}

    /**
     * A target has announced itself, or its announcement is gone.
     *
     * @param id the target
     * @param entry the announcement, if it exists
     */
    record TargetUpdate(TargetId id, Optional<TargetAnnouncement> entry) implements EntryUpdate {}

    /**
     * A failure domain is to get nothing more, or may get work again.
     *
     * @param domain the failure domain
     * @param out true while it is to get nothing
     */
    record DomainUpdate(FailureDomain domain, boolean out) implements EntryUpdate {}

    /**
     * A version of an adapter has been announced.
     *
     * @param adapter the adapter
     * @param version the version
     */
    record AdapterVersionUpdate(AdapterKey adapter, long version) implements EntryUpdate {}

    /**
     * An entry that can't be used.
     *
     * @param reason why
     */
    record InvalidEntry(String reason) implements EntryUpdate {}
}
