package org.balsambank.standin.experiment.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;

/**
 * A catalogue source with generated model runners and adapters.
 *
 * <p>Confined to one thread.
 */
final class PlacementFleet implements CatalogueSource {
    /** The team of all requests. */
    static final TeamId TEAM = new TeamId("team");

    private static final BaseModel MODEL = new BaseModel("base");
    private static final int FAILURE_DOMAINS = 4;

    private final BehaviorProcessor<Catalogue> catalogues;

    /**
     * Creates a fleet with everything in service.
     *
     * @param settings the size of the fleet
     */
    PlacementFleet(final PlacementSettings settings) {
        final Map<TargetId, Target> targets = new HashMap<>();
        for (int i = 0; i < settings.targets(); i++) {
            final Target target = target(i, settings);
            targets.put(target.id(), target);
        }
        final Map<AdapterId, Adapter> adapters = new HashMap<>();
        for (int i = 0; i < settings.adapters(); i++) {
            final AdapterRef ref = adapter(i);
            adapters.put(ref.adapter(), catalogueEntry(ref));
        }
        final Team team = new Team(TEAM, new RateLimit(RateUnit.REQUESTS, 0, 0), 1, List.of());
        catalogues = BehaviorProcessor.createDefault(
                new Catalogue(new Revision(1), Map.of(TEAM, team), adapters, targets, Map.of(), Set.of(), Set.of()));
    }

    /**
     * Returns an adapter by its popularity rank.
     *
     * @param number the rank, from 0 for the most popular one
     * @return the adapter with its only version
     */
    static AdapterRef adapter(final int number) {
        return new AdapterRef(new AdapterId("adapter-" + number), new AdapterVersion("1"));
    }

    /**
     * Returns a failure domain by its number.
     *
     * @param number its number
     * @return the failure domain
     */
    static FailureDomain domain(final int number) {
        return new FailureDomain("domain-" + number);
    }

    /**
     * Replaces the set of failure domains that are out of service.
     *
     * @param out the failure domains that are out of service
     */
    void takeOutOfService(final Set<FailureDomain> out) {
        final Catalogue now = current();
        catalogues.onNext(new Catalogue(
                new Revision(now.revision().value() + 1),
                now.teams(),
                now.adapters(),
                now.targets(),
                now.services(),
                out,
                now.vmsOut()));
    }

    @Override
    public Catalogue current() {
        return catalogues.getValue();
    }

    @Override
    public Flowable<Catalogue> changes() {
        return catalogues;
    }

    private static Target target(final int number, final PlacementSettings settings) {
        return new Target(
                new TargetId("runner-" + number),
                TargetKind.MODEL_RUNNER,
                "127.0.0.1",
                1,
                domain(number % FAILURE_DOMAINS),
                Optional.of(MODEL),
                Optional.empty(),
                settings.concurrency(),
                settings.slots(),
                true,
                false);
    }

    private static Adapter catalogueEntry(final AdapterRef ref) {
        return new Adapter(
                ref.adapter(), List.of(ref.version()), TEAM, Set.of(TEAM), TrafficClass.NORMAL, MODEL, false);
    }
}
