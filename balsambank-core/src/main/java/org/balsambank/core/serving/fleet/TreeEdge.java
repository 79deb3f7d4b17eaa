package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.protocol.generated.serving.BrokenRuns;
import org.balsambank.protocol.generated.serving.Digest;

/**
 * One edge of the aggregation tree: what this VM has still to tell the other end, and what it has heard from there.
 *
 * <p>Digests of one direction are numbered within a session; each names the last one of the other direction that was
 * taken over. A digest that was not taken over is followed by a full one. Units are told as sums since the session
 * began, so that a repeated digest counts once. Confined to the decision loop.
 */
final class TreeEdge {
    private final VmId other;
    private final long session;
    private final Set<TargetId> changedUses = new HashSet<>();
    private final Set<TargetId> changedHoldings = new HashSet<>();
    private final Set<TeamId> changedTeams = new HashSet<>();
    private final Map<TeamId, Long> units = new HashMap<>();
    private final Map<TargetId, Set<AdapterKey>> toldAdapters = new HashMap<>();
    private final List<BrokenRuns> broken = new ArrayList<>();
    private final List<BrokenRuns> toldBroken = new ArrayList<>();
    private final Map<TeamId, Long> heardUnits = new HashMap<>();
    private Map<TeamId, Long> sentUnits = Map.of();
    private Map<TeamId, Long> confirmedUnits = Map.of();
    private long toldNumber;
    private boolean full = true;
    private long heardSession;
    private long heardNumber;
    private long heardNanos;
    private int vms;
    private int readers;
    private long revision;

    /**
     * Creates an edge over which nothing has passed.
     *
     * @param other the VM at the other end
     * @param session tells this edge apart from earlier ones to the same VM
     * @param nowNanos the monotonic time
     */
    TreeEdge(final VmId other, final long session, final long nowNanos) {
        this.other = Objects.requireNonNull(other);
        this.session = session;
        heardNanos = nowNanos;
    }

    /** Returns the VM at the other end. */
    VmId other() {
        return other;
    }

    /** What is under way at a target on this side has changed. */
    void useChanged(final TargetId target) {
        changedUses.add(target);
    }

    /** What a target holds has changed. */
    void holdingChanged(final TargetId target) {
        changedHoldings.add(target);
    }

    /** Units were admitted on this side. */
    void admitted(final TeamId team, final long added) {
        units.merge(team, added, Long::sum);
        changedTeams.add(team);
    }

    /** A target was lost on this side while it ran a request. */
    void broke(final BrokenRuns loss) {
        broken.add(loss);
    }

    /** The last digest may not have arrived: the next one holds everything. */
    void lost() {
        full = true;
        broken.addAll(toldBroken);
        toldBroken.clear();
    }

    /** Returns whether the next digest has to hold everything. */
    boolean full() {
        return full;
    }

    /** Returns whether there is something to tell. */
    boolean pending() {
        return full
                || !changedUses.isEmpty()
                || !changedHoldings.isEmpty()
                || !changedTeams.isEmpty()
                || !broken.isEmpty();
    }

    /** Returns the targets whose use is to be told, once. */
    Set<TargetId> takeUses() {
        return taken(changedUses);
    }

    /** Returns the targets whose holding is to be told, once. */
    Set<TargetId> takeHoldings() {
        return taken(changedHoldings);
    }

    /** Returns the units to be told, once: all of the session if the digest is full. */
    Map<TeamId, Long> takeUnits() {
        final Map<TeamId, Long> told = new HashMap<>(units);
        if (!full) {
            told.keySet().retainAll(changedTeams);
        }
        if (!changedTeams.isEmpty()) {
            sentUnits = Map.copyOf(units);
            changedTeams.clear();
        }
        return told;
    }

    /** Returns the losses to be told; they are told again if the digest does not arrive. */
    List<BrokenRuns> takeBroken() {
        toldBroken.addAll(broken);
        broken.clear();
        return List.copyOf(toldBroken);
    }

    /**
     * Notes the adapters that are told for a target.
     *
     * @return whether they are those of the digest before
     */
    boolean sameAdapters(final TargetId target, final Set<AdapterKey> adapters) {
        return adapters.equals(toldAdapters.put(target, adapters)) && !full;
    }

    /** Numbers a digest that is about to be sent, and says what was heard last. */
    void stamp(final Digest.Builder digest) {
        toldNumber++;
        digest.setSession(session)
                .setNumber(toldNumber)
                .setFull(full)
                .setHeardSession(heardSession)
                .setHeardNumber(heardNumber);
        full = false;
    }

    /**
     * Takes over the frame of a digest from the other end.
     *
     * @return false if a digest before it is missing, so that its content can't be used
     */
    boolean heard(final Digest digest, final long nowNanos) {
        heardNanos = nowNanos;
        if (toldNumber > 0 && (digest.getHeardSession() != session || digest.getHeardNumber() != toldNumber)) {
            lost();
        } else {
            toldBroken.clear();
            confirmedUnits = sentUnits;
        }
        revision = digest.getRevision();
        vms = digest.getVms();
        readers = digest.getReaders();
        final boolean next = digest.getSession() == heardSession && digest.getNumber() == heardNumber + 1;
        if (!digest.getFull() && !next) {
            return false;
        }
        if (digest.getSession() != heardSession) {
            heardUnits.clear();
        }
        heardSession = digest.getSession();
        heardNumber = digest.getNumber();
        return true;
    }

    /** Returns how many units of a sum have not been heard before. */
    long newUnits(final TeamId team, final long sum) {
        final Long before = heardUnits.put(team, sum);
        return sum - (before == null ? 0 : before);
    }

    /** Returns the units that the other end has not confirmed, for the edge that takes the place of this one. */
    Map<TeamId, Long> unconfirmedUnits() {
        final Map<TeamId, Long> rest = new HashMap<>();
        units.forEach((team, sum) -> {
            final long left = sum - confirmedUnits.getOrDefault(team, 0L);
            if (left != 0) {
                rest.put(team, left);
            }
        });
        return rest;
    }

    /** Returns whether anything was ever heard over this edge. */
    boolean answered() {
        return heardNumber > 0;
    }

    /** Returns when the other end was heard last. */
    long heardNanos() {
        return heardNanos;
    }

    /** Returns the VMs on the other side. */
    int vms() {
        return vms;
    }

    /** Returns those of them that can read the key-value service. */
    int readers() {
        return readers;
    }

    /** Returns the revision up to which the other end knows all entries. */
    long revision() {
        return revision;
    }

    private static <T> Set<T> taken(final Set<T> changed) {
        final Set<T> taken = new HashSet<>(changed);
        changed.clear();
        return taken;
    }
}
