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
 * What this VM and the others have under way at each target.
 *
 * <p>Invariant: counts are never negative. Confined to the decision loop.
 */
public final class InFlightRequests {
    private final Map<TargetId, LocalUsage> own = new HashMap<>();
    private final Map<VmId, Map<TargetId, Usage>> peers = new HashMap<>();
    private final Map<TargetId, PeerUsage> elsewhere = new HashMap<>();
    private final Set<TargetId> changed = new HashSet<>();

    /** Creates an empty book. */
    public InFlightRequests() {}

    /**
     * Begins a request at a target.
     *
     * @param target the target
     * @param tokens the prompt tokens that it has to read
     * @param adapter the adapter, if the request names one
     * @return the request, to be ended
     */
    public InFlightRequest begin(final TargetId target, final long tokens, final Optional<AdapterKey> adapter) {
        return new InFlightRequest(target, tokens, adapter);
    }

    /**
     * Replaces what another VM and those behind it have under way at a target.
     *
     * @param vm the other VM
     * @param target the target
     * @param use what they have there
     */
    public void peerUsage(final VmId vm, final TargetId target, final Usage use) {
        final Map<TargetId, Usage> told = peers.computeIfAbsent(vm, ignored -> new HashMap<>());
        final Usage before = use.requests() == 0 ? told.remove(target) : told.put(target, use);
        add(target, before == null ? Usage.NONE : before, use);
    }

    /**
     * Returns what another VM has told of a target.
     *
     * @param vm the other VM
     * @param target the target
     * @return what it and those behind it have under way there
     */
    public Usage peerUsage(final VmId vm, final TargetId target) {
        return peers.getOrDefault(vm, Map.of()).getOrDefault(target, Usage.NONE);
    }

    /**
     * Forgets what another VM has told.
     *
     * @param vm the other VM
     * @return the targets of which it had told something
     */
    public Set<TargetId> forget(final VmId vm) {
        final Map<TargetId, Usage> told = peers.remove(vm);
        if (told == null) {
            return Set.of();
        }
        told.forEach((target, use) -> add(target, use, Usage.NONE));
        return told.keySet();
    }

    private void add(final TargetId target, final Usage before, final Usage after) {
        final PeerUsage sum = elsewhere.computeIfAbsent(target, ignored -> new PeerUsage());
        sum.requests += after.requests() - before.requests();
        sum.tokens += after.pendingPromptTokens() - before.pendingPromptTokens();
        if (sum.requests == 0) {
            elsewhere.remove(target);
        }
    }

    /**
     * Returns what all VMs have under way at a target.
     *
     * @param target the target
     * @return the requests and prompt tokens
     */
    public Usage total(final TargetId target) {
        final LocalUsage mine = own.get(target);
        final PeerUsage others = elsewhere.get(target);
        final int requests = (mine == null ? 0 : mine.requests) + (others == null ? 0 : others.requests);
        final long tokens = (mine == null ? 0 : mine.tokens) + (others == null ? 0 : others.tokens);
        return new Usage(requests, tokens, Set.of());
    }

    /**
     * Returns what this VM and others have under way at a target.
     *
     * @param target the target
     * @param excluded the VMs whose word is left out
     * @return the requests, prompt tokens and adapters
     */
    public Usage totalExcluding(final TargetId target, final Set<VmId> excluded) {
        final Usage mine = own(target);
        int requests = mine.requests();
        long tokens = mine.pendingPromptTokens();
        final Set<AdapterKey> adapters = new HashSet<>(mine.adapters());
        for (final Map.Entry<VmId, Map<TargetId, Usage>> each : peers.entrySet()) {
            final Usage use = each.getValue().get(target);
            if (use != null && !excluded.contains(each.getKey())) {
                requests += use.requests();
                tokens += use.pendingPromptTokens();
                adapters.addAll(use.adapters());
            }
        }
        return new Usage(requests, tokens, adapters);
    }

    /**
     * Returns the targets where any VM is known to have something under way.
     *
     * @return the targets
     */
    public Set<TargetId> known() {
        final Set<TargetId> known = new HashSet<>(own.keySet());
        known.addAll(elsewhere.keySet());
        return known;
    }

    /**
     * Returns what this VM has under way at a target.
     *
     * @param target the target
     * @return the requests, prompt tokens and adapters
     */
    public Usage own(final TargetId target) {
        final LocalUsage mine = own.get(target);
        return mine == null ? Usage.NONE : new Usage(mine.requests, mine.tokens, Set.copyOf(mine.adapters.keySet()));
    }

    /**
     * Tells whether a VM uses an adapter at a target.
     *
     * @param target the target
     * @param adapter the adapter
     * @return true if a request is under way
     */
    public boolean inUse(final TargetId target, final AdapterKey adapter) {
        final LocalUsage mine = own.get(target);
        if (mine != null && mine.adapters.containsKey(adapter)) {
            return true;
        }
        for (final Map<TargetId, Usage> each : peers.values()) {
            final Usage use = each.get(target);
            if (use != null && use.adapters().contains(adapter)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the targets where this VM's use has changed since the last call.
     *
     * @return the targets
     */
    public Set<TargetId> takeChanged() {
        final Set<TargetId> taken = new HashSet<>(changed);
        changed.clear();
        return taken;
    }

    /**
     * What is under way at a target.
     *
     * @param requests the requests
     * @param pendingPromptTokens the prompt tokens of requests without a first piece
     * @param adapters the adapters that they use
     */
    public record Usage(int requests, long pendingPromptTokens, Set<AdapterKey> adapters) {
        /** Nothing. */
        public static final Usage NONE = new Usage(0, 0, Set.of());
    }

    /** One request at a target. Each of its steps counts once. Confined to the decision loop. */
    public final class InFlightRequest {
        private final TargetId target;
        private final long tokens;
        private final Optional<AdapterKey> adapter;
        private boolean read;
        private boolean ended;

        private InFlightRequest(final TargetId target, final long tokens, final Optional<AdapterKey> adapter) {
            this.target = target;
            this.tokens = tokens;
            this.adapter = adapter;
            final LocalUsage mine = own.computeIfAbsent(target, ignored -> new LocalUsage());
            mine.requests++;
            mine.tokens += tokens;
            adapter.ifPresent(key -> mine.adapters.merge(key, 1, Integer::sum));
            changed.add(target);
        }

        /** The target has read the prompt. */
        public void firstChunk() {
            if (read || ended) {
                return;
            }
            read = true;
            own.get(target).tokens -= tokens;
            changed.add(target);
        }

        /** Nothing of the request is left at the target. */
        public void end() {
            if (ended) {
                return;
            }
            firstChunk();
            ended = true;
            final LocalUsage mine = own.get(target);
            mine.requests--;
            adapter.ifPresent(key -> mine.adapters.computeIfPresent(key, (k, n) -> n == 1 ? null : n - 1));
            if (mine.requests == 0) {
                own.remove(target);
            }
            changed.add(target);
        }
    }

    /** What other VMs have under way at one target. */
    private static final class PeerUsage {
        private int requests;
        private long tokens;
    }

    /** What this VM has under way at one target. */
    private static final class LocalUsage {
        private int requests;
        private long tokens;
        private final Map<AdapterKey, Integer> adapters = new HashMap<>();
    }
}
