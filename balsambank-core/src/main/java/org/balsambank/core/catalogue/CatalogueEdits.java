package org.balsambank.core.catalogue;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.key.KeyHasher;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;

/**
 * The edits that operators make by single commands.
 *
 * <p>Stateless but for the source of randomness; thread-safe. An edit of an unknown entry fails with {@code
 * MALFORMED_REQUEST}.
 */
public final class CatalogueEdits {
    private final SecureRandom random;

    /**
     * Creates the edits.
     *
     * @param random makes salts
     */
    public CatalogueEdits(final SecureRandom random) {
        this.random = Objects.requireNonNull(random);
    }

    /**
     * Gives a team a key.
     *
     * @param catalogue the catalogue before
     * @param team the team
     * @param name the name by which the key is withdrawn
     * @param key the key itself, which the result does not hold
     * @return the catalogue after
     * @throws BalsambankException if the team is unknown or has a key with the name
     */
    public Catalogue giveKey(final Catalogue catalogue, final TeamId team, final String name, final String key)
            throws BalsambankException {
        final Team before = team(catalogue, team);
        if (before.keys().stream().anyMatch(known -> known.name().equals(name))) {
            throw refused("team " + team + " has a key named " + name);
        }
        final KeyHash hash = KeyHasher.hashKey(name, salt(catalogue), key);
        return withKeys(
                catalogue,
                before,
                Stream.concat(before.keys().stream(), Stream.of(hash)).toList());
    }

    /**
     * Withdraws a key.
     *
     * @param catalogue the catalogue before
     * @param team the team
     * @param name the name of the key
     * @return the catalogue after
     * @throws BalsambankException if there is no such key
     */
    public Catalogue withdrawKey(final Catalogue catalogue, final TeamId team, final String name)
            throws BalsambankException {
        final Team before = team(catalogue, team);
        final List<KeyHash> kept = before.keys().stream()
                .filter(known -> !known.name().equals(name))
                .toList();
        if (kept.size() == before.keys().size()) {
            throw refused("team " + team + " has no key named " + name);
        }
        return withKeys(catalogue, before, kept);
    }

    /**
     * Takes a VM out or in.
     *
     * @param catalogue the catalogue before
     * @param vm the VM
     * @param out true for out
     * @return the catalogue after
     */
    public Catalogue setVmOut(final Catalogue catalogue, final VmId vm, final boolean out) {
        final Set<VmId> vmsOut = new HashSet<>(catalogue.vmsOut());
        if (out) {
            vmsOut.add(vm);
        } else {
            vmsOut.remove(vm);
        }
        return new Catalogue(
                catalogue.revision(),
                catalogue.teams(),
                catalogue.adapters(),
                catalogue.targets(),
                catalogue.services(),
                catalogue.domainsOut(),
                vmsOut);
    }

    /**
     * Takes a failure domain out or in.
     *
     * @param catalogue the catalogue before
     * @param domain the failure domain
     * @param out true for out
     * @return the catalogue after
     */
    public Catalogue setDomainOut(final Catalogue catalogue, final FailureDomain domain, final boolean out) {
        final Set<FailureDomain> domainsOut = new HashSet<>(catalogue.domainsOut());
        if (out) {
            domainsOut.add(domain);
        } else {
            domainsOut.remove(domain);
        }
        return new Catalogue(
                catalogue.revision(),
                catalogue.teams(),
                catalogue.adapters(),
                catalogue.targets(),
                catalogue.services(),
                domainsOut,
                catalogue.vmsOut());
    }

    /**
     * Takes a target out or in.
     *
     * @param catalogue the catalogue before
     * @param target the target
     * @param out true for out
     * @return the catalogue after
     * @throws BalsambankException if the target is unknown
     */
    public Catalogue setTargetOut(final Catalogue catalogue, final TargetId target, final boolean out)
            throws BalsambankException {
        final Target before = catalogue.targets().get(target);
        if (before == null) {
            throw refused("there is no target " + target);
        }
        final Map<TargetId, Target> targets = new HashMap<>(catalogue.targets());
        targets.put(target, before.withOut(out));
        return new Catalogue(
                catalogue.revision(),
                catalogue.teams(),
                catalogue.adapters(),
                targets,
                catalogue.services(),
                catalogue.domainsOut(),
                catalogue.vmsOut());
    }

    private String salt(final Catalogue catalogue) {
        final Set<String> salts = catalogue.teams().values().stream()
                .flatMap(team -> team.keys().stream())
                .map(KeyHash::salt)
                .collect(Collectors.toCollection(TreeSet::new));
        return salts.stream().findFirst().orElseGet(() -> KeyHasher.newSalt(random));
    }

    private static Team team(final Catalogue catalogue, final TeamId id) throws BalsambankException {
        final Team team = catalogue.teams().get(id);
        if (team == null) {
            throw refused("there is no team " + id);
        }
        return team;
    }

    private static Catalogue withKeys(final Catalogue catalogue, final Team before, final List<KeyHash> keys) {
        final Map<TeamId, Team> teams = new HashMap<>(catalogue.teams());
        teams.put(before.id(), new Team(before.id(), before.limit(), before.weight(), keys));
        return new Catalogue(
                catalogue.revision(),
                teams,
                catalogue.adapters(),
                catalogue.targets(),
                catalogue.services(),
                catalogue.domainsOut(),
                catalogue.vmsOut());
    }

    private static BalsambankException refused(final String message) {
        return new BalsambankException(ErrorKind.MALFORMED_REQUEST, message);
    }
}
