package org.balsambank.core.catalogue.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.catalogue.key.KeyHasher;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;

/** Generates catalogues for tests. Stateless. */
final class CatalogueSamples {
    static final TeamId FIRST_TEAM = new TeamId("team-0");
    private static final int TEAM_COUNT = 5;

    private CatalogueSamples() {}

    /** Generates a catalogue. The first adapter has the given version, all others have version 1. */
    static Catalogue catalogue(final int adapterCount, final String versionOfFirst) {
        final BaseModel model = new BaseModel("base-8b");
        final Map<AdapterId, Adapter> adapters = new HashMap<>();
        for (int i = 0; i < adapterCount; i++) {
            final AdapterId id = new AdapterId("adapter-" + i);
            final TeamId owner = new TeamId("team-" + i % TEAM_COUNT);
            final List<AdapterVersion> versions = List.of(new AdapterVersion(i == 0 ? versionOfFirst : "1"));
            adapters.put(id, new Adapter(id, versions, owner, Set.of(owner), TrafficClass.NORMAL, model, false));
        }
        final Map<TeamId, Team> teams = new HashMap<>();
        for (int i = 0; i < TEAM_COUNT; i++) {
            final TeamId id = new TeamId("team-" + i);
            final RateLimit limit = new RateLimit(RateUnit.REQUESTS, 50, 100);
            teams.put(id, new Team(id, limit, 1, List.of(KeyHasher.hashKey(id + "-key", "00".repeat(16), "k" + i))));
        }
        final Target target = new Target(
                new TargetId("engine-1"),
                TargetKind.MODEL_RUNNER,
                "127.0.0.1",
                21001,
                new FailureDomain("north"),
                Optional.of(model),
                Optional.empty(),
                8,
                4,
                true,
                false);
        return new Catalogue(
                new Revision(0), teams, adapters, Map.of(target.id(), target), Map.of(), Set.of(), Set.of());
    }

    /** Returns a copy of the catalogue without the keys of a team. */
    static Catalogue withoutKeys(final Catalogue catalogue, final TeamId team) {
        final Map<TeamId, Team> teams = new HashMap<>(catalogue.teams());
        final Team previous = teams.get(team);
        teams.put(team, new Team(team, previous.limit(), previous.weight(), List.of()));
        return new Catalogue(
                catalogue.revision(),
                teams,
                catalogue.adapters(),
                catalogue.targets(),
                catalogue.services(),
                catalogue.domainsOut(),
                catalogue.vmsOut());
    }
}
