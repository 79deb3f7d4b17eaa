package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.TeamId;

/**
 * Queues requests with weighted fair sharing between traffic classes and, within each class, between teams.
 *
 * <p>Invariants: a team's ready requests of one class are dequeued in order of arrival; no class or team with a ready
 * request is starved. Confined to the decision loop.
 *
 * @param <E> the type of a queued request
 */
final class FairQueue<E> {
    private final Map<TrafficClass, ClassQueue<E>> classes = new EnumMap<>(TrafficClass.class);
    private final FairShares<TrafficClass> shares = new FairShares<>();
    private int size;

    /**
     * Adds a request.
     *
     * @param trafficClass the traffic class
     * @param team the team that the request is charged to
     * @param weight the weight of the team, above zero
     * @param item the request
     */
    void add(final TrafficClass trafficClass, final TeamId team, final double weight, final E item) {
        final ClassQueue<E> queue = classes.computeIfAbsent(trafficClass, key -> new ClassQueue<>());
        queue.weights.put(team, weight);
        queue.teams.computeIfAbsent(team, key -> new LinkedHashSet<>()).add(item);
        size++;
    }

    /**
     * Removes the next request that is ready.
     *
     * @param ready whether a request can run now
     * @return the request, or empty if none is ready
     */
    Optional<E> poll(final Predicate<E> ready) {
        final Map<TrafficClass, Map<TeamId, E>> heads = new EnumMap<>(TrafficClass.class);
        classes.forEach((trafficClass, queue) -> {
            final Map<TeamId, E> readyHeads = queue.heads(ready);
            if (!readyHeads.isEmpty()) {
                heads.put(trafficClass, readyHeads);
            }
        });
        if (heads.isEmpty()) {
            return Optional.empty();
        }
        final TrafficClass next = shares.next(heads.keySet());
        shares.charge(next, next.weight());
        size--;
        return Optional.of(classes.get(next).take(heads.get(next)));
    }

    /**
     * Removes a request.
     *
     * @param trafficClass the traffic class
     * @param team the team with which the request was added
     * @param item the request
     * @return true if it was queued
     */
    boolean remove(final TrafficClass trafficClass, final TeamId team, final E item) {
        final ClassQueue<E> queue = classes.get(trafficClass);
        final boolean removed = queue != null && queue.remove(team, item);
        if (removed) {
            size--;
        }
        return removed;
    }

    /**
     * Returns whether any queued request matches.
     *
     * @param matches the predicate
     * @return true if at least one request matches
     */
    boolean anyMatch(final Predicate<E> matches) {
        return classes.values().stream()
                .flatMap(queue -> queue.teams.values().stream())
                .anyMatch(items -> items.stream().anyMatch(matches));
    }

    /**
     * Passes each queued request to a consumer.
     *
     * @param consumer receives the requests
     */
    void forEach(final Consumer<E> consumer) {
        classes.values().forEach(queue -> queue.teams.values().forEach(items -> items.forEach(consumer)));
    }

    /**
     * Removes the requests that match and returns them.
     *
     * @param matches the predicate
     * @return the requests, by class and team, in order of arrival
     */
    List<E> removeIf(final Predicate<E> matches) {
        final List<E> removed = new ArrayList<>();
        classes.values().forEach(queue -> queue.removeIf(matches, removed));
        size -= removed.size();
        return removed;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    int size() {
        return size;
    }

    /**
     * The queued requests of one traffic class. Confined to the decision loop.
     *
     * @param <E> the type of a queued request
     */
    private static final class ClassQueue<E> {
        private final Map<TeamId, LinkedHashSet<E>> teams = new TreeMap<>();
        private final Map<TeamId, Double> weights = new TreeMap<>();
        private final FairShares<TeamId> shares = new FairShares<>();

        Map<TeamId, E> heads(final Predicate<E> ready) {
            final Map<TeamId, E> heads = new TreeMap<>();
            teams.forEach(
                    (team, items) -> items.stream().filter(ready).findFirst().ifPresent(e -> heads.put(team, e)));
            return heads;
        }

        E take(final Map<TeamId, E> heads) {
            final TeamId next = shares.next(heads.keySet());
            shares.charge(next, weights.get(next));
            final E item = heads.get(next);
            remove(next, item);
            return item;
        }

        boolean remove(final TeamId team, final E item) {
            final LinkedHashSet<E> items = teams.get(team);
            final boolean removed = items != null && items.remove(item);
            if (removed && items.isEmpty()) {
                teams.remove(team);
                weights.remove(team);
            }
            return removed;
        }

        void removeIf(final Predicate<E> matches, final List<E> removed) {
            for (final Iterator<Map.Entry<TeamId, LinkedHashSet<E>>> i =
                            teams.entrySet().iterator();
                    i.hasNext(); ) {
                final Map.Entry<TeamId, LinkedHashSet<E>> entry = i.next();
                entry.getValue().stream().filter(matches).forEach(removed::add);
                entry.getValue().removeIf(matches);
                if (entry.getValue().isEmpty()) {
                    i.remove();
                    weights.remove(entry.getKey());
                }
            }
        }
    }
}
