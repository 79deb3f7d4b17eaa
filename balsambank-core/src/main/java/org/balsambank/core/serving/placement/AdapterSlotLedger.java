package org.balsambank.core.serving.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.plan.EngineSpec;

/**
 * The adapters and base models at one target since its start, exact as of the number of orders that the target has
 * accepted.
 *
 * <p>It guards against orders that get no response and are executed seconds later. Each order that changes something
 * carries the number of accepted orders on which it is based, so the target rejects a delayed one once it has accepted
 * another. After an order without a response, only that order is sent again. After a rejection because of the number,
 * nothing is sent until a status report has confirmed the number. Invariant: whenever an order is executed, the loaded,
 * pending and unloading adapters together fit into the adapter slots and, beside the base models, into the memory of
 * the target. Confined to the decision loop.
 */
final class AdapterSlotLedger {
    private final Set<BaseModel> models = new HashSet<>();
    private final Map<AdapterKey, Long> loaded = new HashMap<>();
    private final Map<AdapterKey, Long> pending = new LinkedHashMap<>();
    private final Set<AdapterKey> unloading = new HashSet<>();
    private Optional<BaseModel> modelBeingLoaded = Optional.empty();
    private long sequence;
    private boolean confirmed;
    private boolean sequenceMayBeLower;
    private Optional<Order> unanswered = Optional.empty();

    /** Creates a ledger without a known state. */
    AdapterSlotLedger() {}

    /**
     * Returns whether the number of accepted orders is known.
     *
     * @return false until the next status report
     */
    boolean confirmed() {
        return confirmed;
    }

    /**
     * Returns the order that must be sent again before any other.
     *
     * @return the order that got no response, if there is one
     */
    Optional<Order> unanswered() {
        return unanswered;
    }

    /**
     * Returns the number of accepted orders.
     *
     * @return the number on which the next order is based
     */
    long sequence() {
        return sequence;
    }

    /**
     * Returns the base models.
     *
     * @return the loaded base models
     */
    Set<BaseModel> models() {
        return models;
    }

    /**
     * Returns the base model being loaded. No other one may be ordered meanwhile.
     *
     * @return the base model, if a load was accepted and its end is not known
     */
    Optional<BaseModel> modelBeingLoaded() {
        return modelBeingLoaded;
    }

    /**
     * Returns the loaded adapters.
     *
     * @return their versions
     */
    Map<AdapterKey, Long> loaded() {
        return loaded;
    }

    /**
     * Returns the adapters being loaded.
     *
     * @return their versions, 0 for the latest
     */
    Map<AdapterKey, Long> pending() {
        return pending;
    }

    /**
     * Returns the number of occupied adapter slots.
     *
     * @return the number of loaded, pending and unloading adapters; a pending version occupies a slot in addition to
     *     the version that it replaces
     */
    int occupiedSlots() {
        return loaded.size() + pending.size() + unloading.size();
    }

    /**
     * Adds up what the target holds.
     *
     * @param spec the capacity of the target
     * @return the base models and all adapters, as {@link #occupiedSlots()} counts them
     */
    TargetOccupancy occupancy(final EngineSpec spec) {
        final TargetOccupancy occupancy = occupancyWithout(spec, evicted -> false);
        unloading.forEach(occupancy::add);
        return occupancy;
    }

    /**
     * Adds up what the target will hold after the accepted unloads, and without some of its loaded adapters.
     *
     * @param spec the capacity of the target
     * @param evicted which loaded adapters are left out
     * @return the base models and the other loaded and pending adapters
     */
    TargetOccupancy occupancyWithout(final EngineSpec spec, final Predicate<AdapterKey> evicted) {
        final TargetOccupancy occupancy = new TargetOccupancy(spec, models);
        loaded.keySet().stream().filter(evicted.negate()).forEach(occupancy::add);
        pending.keySet().forEach(occupancy::add);
        return occupancy;
    }

    /**
     * Returns whether a status report is needed to learn which accepted unloads have ended.
     *
     * @return true if adapters are being unloaded
     */
    boolean hasUnloading() {
        return !unloading.isEmpty();
    }

    /**
     * Records the response to an order for an adapter.
     *
     * @param order the order
     * @param result the response
     */
    void recordResult(final Order order, final OrderResult result) {
        final AdapterKey adapter = order.adapter().orElseThrow();
        switch (result) {
            case ACCEPTED -> recordAccepted(order, adapter);
            case HOLDS -> recordAlreadyDone(order, adapter);
            case UNKNOWN -> unanswered = Optional.of(order);
            case REFUSED -> {}
            case BUSY -> recordConflict();
            default -> confirmed = false;
        }
    }

    /**
     * Records the response to a repeated load of a pending adapter. Such a load does not count as a further order.
     *
     * @param order the load
     * @param result the response
     * @param overtaken whether another order was in progress at the same time, so that the target may have counted it
     *     before this load arrived
     */
    void recordPollResult(final Order order, final OrderResult result, final boolean overtaken) {
        final AdapterKey adapter = order.adapter().orElseThrow();
        switch (result) {
            case HOLDS -> recordLoaded(order, adapter);
            case ACCEPTED, UNKNOWN, REFUSED -> {}
            case BUSY -> {
                if (!overtaken) {
                    recordConflict();
                }
            }
            default -> confirmed = false;
        }
    }

    /**
     * Gives up an order without a response instead of sending it again. The target may still execute it, until it has
     * accepted another one.
     */
    void abandonUnanswered() {
        unanswered = Optional.empty();
        confirmed = false;
    }

    /** Records that the target has counted another number of orders than expected. */
    private void recordConflict() {
        if (sequenceMayBeLower) {
            sequenceMayBeLower = false;
            sequence--;
            return;
        }
        confirmed = false;
    }

    private void recordLoaded(final Order order, final AdapterKey adapter) {
        pending.remove(adapter);
        loaded.put(adapter, Math.max(order.version(), loaded.getOrDefault(adapter, 0L)));
    }

    private void recordAccepted(final Order order, final AdapterKey adapter) {
        unanswered = Optional.empty();
        sequenceMayBeLower = false;
        sequence++;
        if (order.load()) {
            pending.put(adapter, order.version());
        } else {
            loaded.remove(adapter);
            unloading.add(adapter);
        }
    }

    /**
     * Records that the target is already in the ordered state. If the order was sent before without a response, the
     * target has counted it then or not at all; the next order finds out which.
     */
    private void recordAlreadyDone(final Order order, final AdapterKey adapter) {
        final boolean retried = unanswered.isPresent();
        unanswered = Optional.empty();
        if (order.load()) {
            recordLoaded(order, adapter);
        } else {
            loaded.remove(adapter);
        }
        if (retried || !order.load()) {
            sequence++;
        }
        sequenceMayBeLower |= retried;
    }

    /**
     * Replaces the state by a status report that was requested at least the reporting lag after the last response to an
     * order.
     *
     * @param status the report
     * @return false if it is older than the known state
     */
    boolean applyStatus(final TargetStatus status) {
        if (confirmed && status.sequence() < sequence) {
            return false;
        }
        confirmed = true;
        sequenceMayBeLower = false;
        unanswered = Optional.empty();
        sequence = status.sequence();
        models.clear();
        models.addAll(status.models());
        if (!status.busy() || !models.isEmpty()) {
            modelBeingLoaded = Optional.empty();
        }
        loaded.clear();
        loaded.putAll(status.adapters());
        pending.clear();
        status.pending().forEach(each -> pending.put(each, 0L));
        unloading.clear();
        return true;
    }

    /**
     * Records that the target has responded that an adapter is not resident.
     *
     * @param adapter the adapter
     * @return true if the ledger listed it as loaded
     */
    boolean recordMissing(final AdapterKey adapter) {
        if (loaded.remove(adapter) == null) {
            return false;
        }
        unloading.add(adapter);
        confirmed = false;
        return true;
    }

    /**
     * Records the response to an order to load a base model.
     *
     * @param order the order
     * @param result the response
     */
    void recordModelResult(final Order order, final OrderResult result) {
        switch (result) {
            case ACCEPTED -> {
                unanswered = Optional.empty();
                modelBeingLoaded = Optional.of(order.model());
                sequence++;
            }
            case HOLDS -> {
                models.add(order.model());
                confirmed = false;
            }
            case UNKNOWN -> unanswered = Optional.of(order);
            case REFUSED -> {}
            default -> confirmed = false;
        }
    }
}
