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
 * Edits of the catalogue made by single operator commands.
 *
 * <p>Stateless except for the random number generator; thread-safe. An edit of an unknown entry fails with {@code
 * MALFORMED_REQUEST}.
 */
public final class CatalogueEdits {
    private final SecureRandom random;

    /**
     * Creates an editor.
     *
     * @param random generates salts
     */
    public CatalogueEdits(final SecureRandom random) {
        this.random = Objects.requireNonNull(random);
    }

    /**
     * Adds a key to a team.
     *
     * @param catalogue the current catalogue
     * @param team the team
     * @param name the name by which operators withdraw the key
     * @param key the key itself; the result contains only its hash
     * @return the edited catalogue
     * @throws BalsambankException if the team is unknown or already has a key with this name
     */
    public Catalogue giveKey(final Catalogue catalogue, final TeamId team, final String name, final String key)
            throws BalsambankException {
        final Team before = team(catalogue, team);
        if (before.keys().stream().anyMatch(known -> known.name().equals(name))) {
            throw malformed("team " + team + " already has a key named " + name);
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
     * @param catalogue the current catalogue
     * @param team the team
     * @param name the name of the key
     * @return the edited catalogue
     * @throws BalsambankException if the team or the key is unknown
     */
    public Catalogue withdrawKey(final Catalogue catalogue, final TeamId team, final String name)
            throws BalsambankException {
        final Team before = team(catalogue, team);
        final List<KeyHash> remaining = before.keys().stream()
                .filter(known -> !known.name().equals(name))
                .toList();
        if (remaining.size() == before.keys().size()) {
            throw malformed("team " + team + " has no key named " + name);
        }
        return withKeys(catalogue, before, remaining);
    }

    /**
     * Takes a VM out of service or puts it back in service.
     *
     * @param catalogue the current catalogue
     * @param vm the VM
     * @param out true to take it out, false to put it back
     * @return the edited catalogue
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
     * Takes a failure domain out of service or puts it back in service.
     *
     * @param catalogue the current catalogue
     * @param domain the failure domain
     * @param out true to take it out, false to put it back
     * @return the edited catalogue
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
     * Takes a target out of service or puts it back in service.
     *
     * @param catalogue the current catalogue
     * @param target the target
     * @param out true to take it out, false to put it back
     * @return the edited catalogue
     * @throws BalsambankException if the target is unknown
     */
    public Catalogue setTargetOut(final Catalogue catalogue, final TargetId target, final boolean out)
            throws BalsambankException {
        final Target before = catalogue.targets().get(target);
        if (before == null) {
            throw malformed("unknown target " + target);
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
            throw malformed("unknown team " + id);
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

    private static BalsambankException malformed(final String message) {
        return new BalsambankException(ErrorKind.MALFORMED_REQUEST, message);
    }
}
