package org.balsambank.core.serving.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.id.BaseModel;

/**
 * What one start of a target holds, exactly as of the number of orders that it has accepted.
 *
 * <p>Answers orders that get no answer and are carried out seconds later. Each order that changes something names the
 * number of accepted orders on which it was decided, so a late one is refused as soon as another one was accepted.
 * After an order without an answer only that order is given again; after a refusal for its number nothing is ordered
 * until a report tells the number anew. Invariant: no more adapters are loaded, pending or leaving than there are
 * places, whenever an order is carried out. Confined to the decision loop.
 */
final class AdapterSlotLedger {
    private final Set<BaseModel> models = new HashSet<>();
    private final Map<AdapterKey, Long> held = new HashMap<>();
    private final Map<AdapterKey, Long> pending = new LinkedHashMap<>();
    private final Set<AdapterKey> leaving = new HashSet<>();
    private long sequence;
    private boolean certain;
    private Optional<Order> unanswered = Optional.empty();

    /** Creates a ledger that knows nothing. */
    AdapterSlotLedger() {}

    /**
     * Tells whether the number of accepted orders is known.
     *
     * @return false until the next report
     */
    boolean certain() {
        return certain;
    }

    /**
     * Returns the order that has to be given again before any other.
     *
     * @return the order without an answer, if there is one
     */
    Optional<Order> unanswered() {
        return unanswered;
    }

    /**
     * Returns the number of accepted orders.
     *
     * @return the number on which the next order is decided
     */
    long sequence() {
        return sequence;
    }

    /**
     * Returns the base models.
     *
     * @return those that are there
     */
    Set<BaseModel> models() {
        return models;
    }

    /**
     * Returns the loaded adapters.
     *
     * @return their versions
     */
    Map<AdapterKey, Long> held() {
        return held;
    }

    /**
     * Returns the adapters on their way.
     *
     * @return their versions, 0 for the newest
     */
    Map<AdapterKey, Long> pending() {
        return pending;
    }

    /**
     * Returns the number of places that are taken.
     *
     * @return loaded, pending and leaving adapters; a version on its way takes a place besides the one that it replaces
     */
    int taken() {
        return held.size() + pending.size() + leaving.size();
    }

    /**
     * Takes the answer to an order about an adapter.
     *
     * @param order the order
     * @param result the answer
     */
    void answered(final Order order, final OrderResult result) {
        final AdapterKey adapter = order.adapter().orElseThrow();
        final boolean again = unanswered.isPresent();
        final boolean poll = order.load() && pending.containsKey(adapter);
        switch (result) {
            case ACCEPTED -> accepted(order, adapter, poll);
            case HOLDS -> holds(order, adapter, again, poll);
            case UNKNOWN -> {
                if (!poll) {
                    unanswered = Optional.of(order);
                }
            }
            case REFUSED -> {}
            default -> certain = false;
        }
    }

    private void accepted(final Order order, final AdapterKey adapter, final boolean poll) {
        unanswered = Optional.empty();
        if (poll) {
            return;
        }
        sequence++;
        if (order.load()) {
            pending.put(adapter, order.version());
        } else {
            held.remove(adapter);
            leaving.add(adapter);
        }
    }

    private void holds(final Order order, final AdapterKey adapter, final boolean again, final boolean poll) {
        unanswered = Optional.empty();
        if (again) {
            certain = false;
        }
        if (order.load()) {
            pending.remove(adapter);
            held.put(adapter, Math.max(order.version(), held.getOrDefault(adapter, 0L)));
        } else {
            sequence++;
            held.remove(adapter);
        }
    }

    /**
     * Takes a report that was asked for after the last answer and its lag.
     *
     * @param status the report
     * @return false if it is older than what is known
     */
    boolean reported(final TargetStatus status) {
        if (certain && status.sequence() < sequence) {
            return false;
        }
        certain = true;
        unanswered = Optional.empty();
        sequence = status.sequence();
        models.clear();
        models.addAll(status.models());
        held.clear();
        held.putAll(status.adapters());
        pending.clear();
        status.pending().forEach(each -> pending.put(each, 0L));
        leaving.clear();
        return true;
    }

    /**
     * The target has just said that it does not hold an adapter.
     *
     * @param adapter the adapter
     * @return true if it counted as loaded
     */
    boolean missing(final AdapterKey adapter) {
        if (held.remove(adapter) == null) {
            return false;
        }
        leaving.add(adapter);
        certain = false;
        return true;
    }

    /** A base model is there. */
    void modelLoaded(final BaseModel model) {
        models.add(model);
        certain = false;
    }
}
