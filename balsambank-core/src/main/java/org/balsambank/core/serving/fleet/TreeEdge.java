package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.protocol.generated.serving.BrokenRuns;
import org.balsambank.protocol.generated.serving.Digest;

/**
 * One edge of the aggregation tree: the changes to send to the other end, and the state received from there.
 *
 * <p>The digests of each direction are numbered within a session, and each acknowledges the last one applied from the
 * other direction. A digest that was not acknowledged is followed by a full one. Units are sent as totals since the
 * start of the session, so that a repeated digest is counted once; they start anew when the other end opens the edge
 * anew, as it no longer knows the totals that it took over. Confined to the decision loop.
 */
final class TreeEdge {
    private final VmId other;
    private final long session;
    private final Set<TargetId> changedUsage = new HashSet<>();
    private final Set<TargetId> changedResidency = new HashSet<>();
    private final Set<PromptPartId> changedParts = new HashSet<>();
    private final Set<TargetStart> changedLimits = new HashSet<>();
    private final Set<TargetId> changedLoads = new LinkedHashSet<>();
    private final Set<TeamId> changedTeams = new HashSet<>();
    private final Map<TeamId, Long> units = new HashMap<>();
    private final Map<TargetId, Set<AdapterKey>> sentAdapters = new HashMap<>();
    private final List<BrokenRuns> newCrashes = new ArrayList<>();
    private final List<BrokenRuns> sentCrashes = new ArrayList<>();
    private final Map<TeamId, Long> receivedUnits = new HashMap<>();
    private Map<TeamId, Long> sentUnits = Map.of();
    private Map<TeamId, Long> acknowledgedUnits = Map.of();
    private long sentNumber;
    private boolean full = true;
    private boolean retainedChanged;
    private long receivedSession;
    private long receivedNumber;
    private long receivedNanos;
    private int vms;
    private int readers;
    private long revision;

    /**
     * Creates an edge without exchanged digests.
     *
     * @param other the VM at the other end
     * @param session the session id, which distinguishes this edge from earlier ones to the same VM
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    TreeEdge(final VmId other, final long session, final long nowNanos) {
        this.other = Objects.requireNonNull(other);
        this.session = session;
        receivedNanos = nowNanos;
    }

    /** Returns the VM at the other end. */
    VmId other() {
        return other;
    }

    /** Records that the usage of a target has changed on this side. */
    void usageChanged(final TargetId target) {
        changedUsage.add(target);
    }

    /** Records that the residency of a target has changed. */
    void residencyChanged(final TargetId target) {
        changedResidency.add(target);
    }

    /** Records that the evidence against a part of prompts has changed. */
    void partChanged(final PromptPartId part) {
        changedParts.add(part);
    }

    /** Records that the limit of a target has changed. */
    void limitChanged(final TargetStart target) {
        changedLimits.add(target);
    }

    /** Records that the states that this VM retains from an earlier era have changed. */
    void retainedChanged() {
        retainedChanged = true;
    }

    /** Returns whether the retained states have changed since the last digest. */
    boolean drainRetained() {
        final boolean changed = retainedChanged;
        retainedChanged = false;
        return changed;
    }

    /** Records that a target has reported a load that says something new. */
    void loadChanged(final TargetId target) {
        changedLoads.add(target);
    }

    /** Records units admitted on this side. */
    void admitted(final TeamId team, final long added) {
        units.merge(team, added, Long::sum);
        changedTeams.add(team);
    }

    /** Records that a target crashed on this side while running a request. */
    void crashed(final BrokenRuns crash) {
        newCrashes.add(crash);
    }

    /** Records that the last digest may not have arrived, so that the next one is a full one. */
    void resendAll() {
        full = true;
        newCrashes.addAll(sentCrashes);
        sentCrashes.clear();
    }

    /** Returns whether the next digest is a full one. */
    boolean full() {
        return full;
    }

    /** Returns whether there are changes to send. */
    boolean hasChanges() {
        return full
                || !changedUsage.isEmpty()
                || !changedResidency.isEmpty()
                || !changedParts.isEmpty()
                || !changedLimits.isEmpty()
                || retainedChanged
                || !changedLoads.isEmpty()
                || !changedTeams.isEmpty()
                || !newCrashes.isEmpty();
    }

    /** Returns the targets with changed usage and clears the set. */
    Set<TargetId> drainUsage() {
        return drain(changedUsage);
    }

    /** Returns the targets with changed residency and clears the set. */
    Set<TargetId> drainResidency() {
        return drain(changedResidency);
    }

    /** Returns the parts of prompts with changed evidence and clears the set. */
    Set<PromptPartId> drainParts() {
        return drain(changedParts);
    }

    /** Returns the targets with changed limits and clears the set. */
    Set<TargetStart> drainLimits() {
        return drain(changedLimits);
    }

    /** Returns the targets whose loads changed first and removes them; the others remain for the next digest. */
    List<TargetId> drainLoads(final int max) {
        final List<TargetId> first = changedLoads.stream().limit(max).toList();
        first.forEach(changedLoads::remove);
        return first;
    }

    /**
     * Returns the changed totals of units, or all totals of the session if the digest is full, and clears the changes.
     */
    Map<TeamId, Long> drainUnits() {
        final Map<TeamId, Long> totals = new HashMap<>(units);
        if (!full) {
            totals.keySet().retainAll(changedTeams);
        }
        if (!changedTeams.isEmpty()) {
            sentUnits = Map.copyOf(units);
            changedTeams.clear();
        }
        return totals;
    }

    /** Returns the crashes to send; they are sent again if the digest is not acknowledged. */
    List<BrokenRuns> crashesToSend() {
        sentCrashes.addAll(newCrashes);
        newCrashes.clear();
        return List.copyOf(sentCrashes);
    }

    /**
     * Records the adapters that are sent for a target.
     *
     * @return whether they equal those of the previous digest, so that they can be omitted
     */
    boolean sameAdapters(final TargetId target, final Set<AdapterKey> adapters) {
        return adapters.equals(sentAdapters.put(target, adapters)) && !full;
    }

    /** Adds the session, the number and the acknowledgement to a digest that is about to be sent. */
    void addHeader(final Digest.Builder digest) {
        sentNumber++;
        digest.setSession(session)
                .setNumber(sentNumber)
                .setFull(full)
                .setHeardSession(receivedSession)
                .setHeardNumber(receivedNumber);
        full = false;
    }

    /**
     * Processes the session, number and acknowledgement of a received digest.
     *
     * @return false if an earlier digest is missing, so that the content must be ignored
     */
    boolean receive(final Digest digest, final long nowNanos) {
        receivedNanos = nowNanos;
        if (sentNumber > 0 && (digest.getHeardSession() != session || digest.getHeardNumber() != sentNumber)) {
            resendAll();
        } else {
            sentCrashes.clear();
            acknowledgedUnits = sentUnits;
        }
        if (receivedSession != 0 && digest.getSession() != receivedSession) {
            forgetAcknowledgedUnits();
        }
        revision = digest.getRevision();
        vms = digest.getVms();
        readers = digest.getReaders();
        final boolean next = digest.getSession() == receivedSession && digest.getNumber() == receivedNumber + 1;
        if (!digest.getFull() && !next) {
            return false;
        }
        if (digest.getSession() != receivedSession) {
            receivedUnits.clear();
        }
        receivedSession = digest.getSession();
        receivedNumber = digest.getNumber();
        return true;
    }

    /** Returns the units by which a received total exceeds the previous one. */
    long newUnits(final TeamId team, final long total) {
        final Long previous = receivedUnits.put(team, total);
        return total - (previous == null ? 0 : previous);
    }

    /** Returns the units that the other end has not acknowledged, to be sent over the edge that replaces this one. */
    Map<TeamId, Long> unacknowledgedUnits() {
        final Map<TeamId, Long> result = new HashMap<>();
        units.forEach((team, total) -> {
            final long unacknowledged = total - acknowledgedUnits.getOrDefault(team, 0L);
            if (unacknowledged != 0) {
                result.put(team, unacknowledged);
            }
        });
        return result;
    }

    /** Starts the totals anew for an edge that the other end has opened anew, without those it took over before. */
    private void forgetAcknowledgedUnits() {
        final Map<TeamId, Long> remaining = unacknowledgedUnits();
        units.clear();
        units.putAll(remaining);
        changedTeams.addAll(remaining.keySet());
        sentUnits = Map.of();
        acknowledgedUnits = Map.of();
    }

    /** Returns whether any digest was received over this edge. */
    boolean hasReceived() {
        return receivedNumber > 0;
    }

    /** Returns when the last digest was received, on the monotonic clock. */
    long receivedNanos() {
        return receivedNanos;
    }

    /** Returns the number of VMs on the other side. */
    int vms() {
        return vms;
    }

    /** Returns how many of them can read the key-value service. */
    int readers() {
        return readers;
    }

    /** Returns the revision up to which the replica of the other end is complete. */
    long revision() {
        return revision;
    }

    private static <T> Set<T> drain(final Set<T> changed) {
        final Set<T> result = new HashSet<>(changed);
        changed.clear();
        return result;
    }
}
