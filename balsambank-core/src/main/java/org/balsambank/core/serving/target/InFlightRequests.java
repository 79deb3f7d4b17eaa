package org.balsambank.core.serving.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.placement.AdapterKey;

/**
 * Requests in flight at each target, from this VM and from its peers.
 *
 * <p>Invariant: counts are never negative. Confined to the decision loop.
 */
public final class InFlightRequests {
    private final Map<TargetId, LocalUsage> own = new HashMap<>();
    private final Map<VmId, Map<TargetId, Usage>> usageByPeer = new HashMap<>();
    private final Map<TargetId, PeerUsage> peerTotals = new HashMap<>();
    private final Set<TargetId> changed = new HashSet<>();

    /** Creates an instance without requests. */
    public InFlightRequests() {}

    /**
     * Records the start of a request at a target.
     *
     * @param target the target
     * @param tokens the prompt tokens of the request
     * @param adapter the adapter, if the request names one
     * @return the request; the caller must end it
     */
    public InFlightRequest begin(final TargetId target, final long tokens, final Optional<AdapterKey> adapter) {
        return new InFlightRequest(target, tokens, adapter);
    }

    /**
     * Replaces the usage that a peer reports for a target.
     *
     * @param vm the peer that reported it
     * @param target the target
     * @param usage the requests of the peer and of the VMs that it aggregates
     */
    public void peerUsage(final VmId vm, final TargetId target, final Usage usage) {
        final Map<TargetId, Usage> reported = usageByPeer.computeIfAbsent(vm, ignored -> new HashMap<>());
        final Usage previous = usage.requests() == 0 ? reported.remove(target) : reported.put(target, usage);
        add(target, previous == null ? Usage.NONE : previous, usage);
    }

    /**
     * Returns the usage that a peer reported for a target.
     *
     * @param vm the peer that reported it
     * @param target the target
     * @return the usage of the peer and of the VMs that it aggregates
     */
    public Usage peerUsage(final VmId vm, final TargetId target) {
        return usageByPeer.getOrDefault(vm, Map.of()).getOrDefault(target, Usage.NONE);
    }

    /**
     * Removes everything that a peer has reported.
     *
     * @param vm the peer
     * @return the targets for which it had reported usage
     */
    public Set<TargetId> removePeer(final VmId vm) {
        final Map<TargetId, Usage> reported = usageByPeer.remove(vm);
        if (reported == null) {
            return Set.of();
        }
        reported.forEach((target, usage) -> add(target, usage, Usage.NONE));
        return reported.keySet();
    }

    private void add(final TargetId target, final Usage previous, final Usage current) {
        final PeerUsage peerTotal = peerTotals.computeIfAbsent(target, ignored -> new PeerUsage());
        peerTotal.requests += current.requests() - previous.requests();
        peerTotal.pendingPromptTokens += current.pendingPromptTokens() - previous.pendingPromptTokens();
        if (peerTotal.requests == 0) {
            peerTotals.remove(target);
        }
    }

    /**
     * Returns the usage of all VMs at a target.
     *
     * @param target the target
     * @return the requests and pending prompt tokens; the set of adapters is left empty
     */
    public Usage total(final TargetId target) {
        final LocalUsage local = own.get(target);
        final PeerUsage others = peerTotals.get(target);
        final int requests = (local == null ? 0 : local.requests) + (others == null ? 0 : others.requests);
        final long tokens =
                (local == null ? 0 : local.pendingPromptTokens) + (others == null ? 0 : others.pendingPromptTokens);
        return new Usage(requests, tokens, Set.of());
    }

    /**
     * Returns the usage of this VM and its peers at a target, without some of the peers.
     *
     * @param target the target
     * @param excluded the peers whose reports are left out
     * @return the requests, pending prompt tokens and adapters
     */
    public Usage totalExcluding(final TargetId target, final Set<VmId> excluded) {
        final Usage local = own(target);
        int requests = local.requests();
        long tokens = local.pendingPromptTokens();
        final Set<AdapterKey> adapters = new HashSet<>(local.adapters());
        for (final Map.Entry<VmId, Map<TargetId, Usage>> each : usageByPeer.entrySet()) {
            final Usage usage = each.getValue().get(target);
            if (usage != null && !excluded.contains(each.getKey())) {
                requests += usage.requests();
                tokens += usage.pendingPromptTokens();
                adapters.addAll(usage.adapters());
            }
        }
        return new Usage(requests, tokens, adapters);
    }

    /**
     * Returns the targets at which any VM is known to have requests in flight.
     *
     * @return the targets
     */
    public Set<TargetId> targets() {
        final Set<TargetId> result = new HashSet<>(own.keySet());
        result.addAll(peerTotals.keySet());
        return result;
    }

    /**
     * Returns the usage of this VM at a target.
     *
     * @param target the target
     * @return the requests, pending prompt tokens and adapters
     */
    public Usage own(final TargetId target) {
        final LocalUsage local = own.get(target);
        return local == null
                ? Usage.NONE
                : new Usage(local.requests, local.pendingPromptTokens, Set.copyOf(local.adapters.keySet()));
    }

    /**
     * Returns the number of requests of this VM at a target.
     *
     * @param target the target
     * @return the number
     */
    public int ownRequests(final TargetId target) {
        final LocalUsage local = own.get(target);
        return local == null ? 0 : local.requests;
    }

    /**
     * Returns whether a request in flight uses an adapter at a target.
     *
     * @param target the target
     * @param adapter the adapter
     * @return true if any VM is known to have such a request in flight
     */
    public boolean inUse(final TargetId target, final AdapterKey adapter) {
        final LocalUsage local = own.get(target);
        if (local != null && local.adapters.containsKey(adapter)) {
            return true;
        }
        for (final Map<TargetId, Usage> each : usageByPeer.values()) {
            final Usage usage = each.get(target);
            if (usage != null && usage.adapters().contains(adapter)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the targets at which this VM's usage has changed since the last call.
     *
     * @return the targets
     */
    public Set<TargetId> drainChanged() {
        final Set<TargetId> drained = new HashSet<>(changed);
        changed.clear();
        return drained;
    }

    /**
     * The requests in flight at a target.
     *
     * @param requests the number of requests
     * @param pendingPromptTokens the prompt tokens of requests whose first chunk has not arrived
     * @param adapters the adapters that they use
     */
    public record Usage(int requests, long pendingPromptTokens, Set<AdapterKey> adapters) {
        /** No requests. */
        public static final Usage NONE = new Usage(0, 0, Set.of());
    }

    /** One request in flight at a target. Calling a method again has no effect. Confined to the decision loop. */
    public final class InFlightRequest {
        private final TargetId target;
        private final long promptTokens;
        private final Optional<AdapterKey> adapter;
        private boolean promptRead;
        private boolean ended;

        private InFlightRequest(final TargetId target, final long tokens, final Optional<AdapterKey> adapter) {
            this.target = target;
            this.promptTokens = tokens;
            this.adapter = adapter;
            final LocalUsage local = own.computeIfAbsent(target, ignored -> new LocalUsage());
            local.requests++;
            local.pendingPromptTokens += tokens;
            adapter.ifPresent(key -> local.adapters.merge(key, 1, Integer::sum));
            changed.add(target);
        }

        /** Records the first chunk of the response: the target has processed the prompt. */
        public void firstChunk() {
            if (promptRead || ended) {
                return;
            }
            promptRead = true;
            own.get(target).pendingPromptTokens -= promptTokens;
            changed.add(target);
        }

        /** Records the end of the request at the target. */
        public void end() {
            if (ended) {
                return;
            }
            firstChunk();
            ended = true;
            final LocalUsage local = own.get(target);
            local.requests--;
            adapter.ifPresent(key -> local.adapters.computeIfPresent(key, (k, n) -> n == 1 ? null : n - 1));
            if (local.requests == 0) {
                own.remove(target);
            }
            changed.add(target);
        }
    }

    /** The usage of all peers at one target. */
    private static final class PeerUsage {
        private int requests;
        private long pendingPromptTokens;
    }

    /** The usage of this VM at one target. */
    private static final class LocalUsage {
        private int requests;
        private long pendingPromptTokens;
        private final Map<AdapterKey, Integer> adapters = new HashMap<>();
    }
}
