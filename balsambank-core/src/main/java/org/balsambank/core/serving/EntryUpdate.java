package org.balsambank.core.serving;

import java.util.Optional;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.target.TargetAnnouncement;

/** An update decoded from one entry of the key-value service. Immutable and thread-safe. */
public sealed interface EntryUpdate {
    /**
     * A new version of the plan.
     *
     * @param plan the plan
     */
    record PlanUpdate(ServingPlan plan) implements EntryUpdate {}

    /**
     * A target's announcement was written or removed.
     *
     * @param id the target
     * @param announcement the announcement, empty if it was removed
     */
    record TargetUpdate(TargetId id, Optional<TargetAnnouncement> announcement) implements EntryUpdate {}

    /**
     * A failure domain was taken out of service or put back.
     *
     * @param domain the failure domain
     * @param out true while it must not receive requests
     */
    record DomainUpdate(FailureDomain domain, boolean out) implements EntryUpdate {}

    /**
     * A new version of an adapter was announced.
     *
     * @param adapter the adapter
     * @param version the version
     */
    record AdapterVersionUpdate(AdapterKey adapter, long version) implements EntryUpdate {}

    /**
     * An entry that cannot be decoded.
     *
     * @param reason why it cannot be decoded
     */
    record InvalidEntry(String reason) implements EntryUpdate {}
}
