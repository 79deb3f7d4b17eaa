package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.TeamId;

/** A simple reference implementation of the fair queue: one list, scanned linearly at each step. */
final class NaiveFairQueue {
    private final List<Item> items = new ArrayList<>();
    private final Map<Object, Double> nextStartTags = new HashMap<>();
    private final Map<Object, Double> virtualTimes = new HashMap<>();

    void add(final TrafficClass trafficClass, final TeamId team, final double weight, final int number) {
        items.add(new Item(trafficClass, team, weight, number));
    }

    Optional<Integer> poll(final Predicate<Integer> ready) {
        final List<Item> readyItems =
                items.stream().filter(item -> ready.test(item.number)).toList();
        if (readyItems.isEmpty()) {
            return Optional.empty();
        }
        final TrafficClass trafficClass = leastStartTag("classes", readyItems, Item::trafficClass);
        final List<Item> ofClass = readyItems.stream()
                .filter(item -> item.trafficClass == trafficClass)
                .toList();
        final TeamId team = leastStartTag(trafficClass, ofClass, Item::team);
        final Item next = ofClass.stream()
                .filter(item -> item.team.equals(team))
                .findFirst()
                .orElseThrow();
        charge("classes", trafficClass, trafficClass.weight());
        charge(trafficClass, team, next.weight);
        items.remove(next);
        return Optional.of(next.number);
    }

    private <K extends Comparable<K>> K leastStartTag(
            final Object level, final List<Item> readyItems, final Function<Item, K> key) {
        K best = null;
        for (final K each : new TreeSet<>(readyItems.stream().map(key).toList())) {
            if (best == null || startTag(level, each) < startTag(level, best)) {
                best = each;
            }
        }
        return best;
    }

    private void charge(final Object level, final Object key, final double weight) {
        final double startTag = startTag(level, key);
        virtualTimes.put(level, startTag);
        nextStartTags.put(level + "/" + key, startTag + 1 / weight);
    }

    private double startTag(final Object level, final Object key) {
        return Math.max(virtualTimes.getOrDefault(level, 0.0), nextStartTags.getOrDefault(level + "/" + key, 0.0));
    }

    /** A queued number with its class, team and weight. */
    private record Item(TrafficClass trafficClass, TeamId team, double weight, int number) {}
}
