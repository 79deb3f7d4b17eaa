package org.balsambank.core.target;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Selects the next flow to serve by start-time fair queueing, which shares a resource in proportion to weights.
 *
 * <p>Invariants: while two flows are both backlogged, the difference between their service counts divided by their
 * weights stays below one service of each; an idle flow accumulates no credit. Confined to the decision loop.
 *
 * @param <K> the type of the flow keys
 */
final class FairShares<K extends Comparable<K>> {
    private static final int PRUNE_ABOVE_FLOWS = 64;

    private final Map<K, Double> nextStartTags = new HashMap<>();
    private double virtualTime;

    /**
     * Returns the flow to serve next.
     *
     * @param flows the backlogged flows, at least one
     * @return the flow with the lowest start tag; ties are broken by the order of the keys
     */
    K next(final Collection<K> flows) {
        K best = null;
        for (final K flow : flows) {
            if (best == null || precedes(flow, best)) {
                best = flow;
            }
        }
        return best;
    }

    /**
     * Charges one unit of service to a flow.
     *
     * @param flow the flow that {@link #next} returned
     * @param weight the weight of the flow, above zero
     */
    void charge(final K flow, final double weight) {
        final double startTag = startTag(flow);
        virtualTime = startTag;
        nextStartTags.put(flow, startTag + 1 / weight);
        if (nextStartTags.size() > PRUNE_ABOVE_FLOWS) {
            nextStartTags.values().removeIf(next -> next <= virtualTime);
        }
    }

    private boolean precedes(final K flow, final K other) {
        final int byStartTag = Double.compare(startTag(flow), startTag(other));
        return byStartTag != 0 ? byStartTag < 0 : flow.compareTo(other) < 0;
    }

    private double startTag(final K flow) {
        return Math.max(virtualTime, nextStartTags.getOrDefault(flow, 0.0));
    }
}
