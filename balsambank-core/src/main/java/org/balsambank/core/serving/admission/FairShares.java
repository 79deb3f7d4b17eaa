package org.balsambank.core.serving.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the capacity of a service among teams and priorities.
 *
 * <p>The fair share of a team is what max-min fairness over the teams gives it. The capacity goes, in this order:
 *
 * <ol>
 *   <li>to each team, {@value #PROTECTED_SHARE} of its fair share, its most urgent requests first;
 *   <li>to the requests of all teams by priority, max-min fair over the teams within a priority, up to the larger of
 *       the team's fair share and its usual rate; the usual rate is raised by the growth of the median team, so that a
 *       common burst limits no team, but a team that alone sends more than twice its usual rate gets its fair share;
 *   <li>to what is left, by priority.
 * </ol>
 *
 * <p>So a team that floods takes nothing from others below their fair share, and a less urgent request of one team
 * comes before a more urgent one of another team only within the protected share or against a team that floods.
 * Stateless and thread-safe.
 */
final class FairShares {
    static final double PROTECTED_SHARE = 0.5;

    /** Requests of every cell are admitted at least this often, so that none waits for the end of an overload. */
    static final double MIN_SHARE = 0.02;

    private static final double USUAL_TOLERANCE = 1.25;
    private static final double FLOOD_RATIO = 2;

    private final Map<DemandCell, Double> demand;
    private final Map<Integer, Double> usual;
    private final Map<DemandCell, Double> allotted = new HashMap<>();
    private final Map<Integer, Double> teamAllotted = new HashMap<>();
    private final Map<Integer, Double> teamDemand = new HashMap<>();
    private double left;

    private FairShares(final Map<DemandCell, Double> demand, final Map<Integer, Double> usual, final double capacity) {
        this.demand = demand;
        this.usual = usual;
        left = capacity;
        demand.forEach((cell, units) -> teamDemand.merge(cell.team(), units, Double::sum));
    }

    /**
     * Divides the capacity.
     *
     * @param demand the units per second that each cell offers
     * @param usual the units per second that each team usually offers; a team that is missing is at its usual rate
     * @param capacity the units per second that can be served in time
     * @return the share of the requests of each cell to admit, from {@value #MIN_SHARE} to 1
     */
    static Map<DemandCell, Double> of(
            final Map<DemandCell, Double> demand, final Map<Integer, Double> usual, final double capacity) {
        return new FairShares(demand, usual, capacity).divide(capacity);
    }

    /**
     * Returns the weighted max-min fair shares of a capacity.
     *
     * @param demand what each team demands
     * @param capacity the capacity
     * @return what each team gets, at most its demand
     */
    static Map<Integer, Double> maxMin(final Map<Integer, Double> demand, final double capacity) {
        final List<Map.Entry<Integer, Double>> ascending = new ArrayList<>(demand.entrySet());
        ascending.sort(Comparator.comparingDouble(each -> each.getValue() / weight(each.getKey())));
        final Map<Integer, Double> result = new HashMap<>();
        double remaining = Math.max(0, capacity);
        double weights =
                demand.keySet().stream().mapToDouble(FairShares::weight).sum();
        for (final Map.Entry<Integer, Double> each : ascending) {
            final double weight = weight(each.getKey());
            final double granted = Math.min(each.getValue(), remaining * weight / weights);
            result.put(each.getKey(), granted);
            remaining -= granted;
            weights -= weight;
        }
        return result;
    }

    /** Teams weigh the same; the sum of those that are not listed stands for many. */
    private static double weight(final int team) {
        return team == DemandCell.OTHERS ? FleetDemand.MAX_CELLS : 1;
    }

    private Map<DemandCell, Double> divide(final double capacity) {
        final Map<Integer, Double> fair = maxMin(teamDemand, capacity);
        allotProtected(fair);
        final double growth = medianGrowth();
        final Map<Integer, Double> caps = new HashMap<>();
        teamDemand.forEach((team, units) -> {
            final double expected = growth * usual.getOrDefault(team, units);
            final boolean floods = units > FLOOD_RATIO * expected;
            caps.put(team, floods ? fair.get(team) : Math.max(fair.get(team), USUAL_TOLERANCE * expected));
        });
        allotByPriority(caps);
        allotByPriority(teamDemand);
        final Map<DemandCell, Double> shares = new HashMap<>();
        demand.forEach((cell, units) -> shares.put(
                cell, Math.min(1, Math.max(MIN_SHARE, allotted.getOrDefault(cell, 0.0) / Math.max(1e-9, units)))));
        return shares;
    }

    private void allotProtected(final Map<Integer, Double> fair) {
        final List<DemandCell> urgentFirst = demand.keySet().stream()
                .sorted(Comparator.comparingInt(DemandCell::priority))
                .toList();
        for (final DemandCell cell : urgentFirst) {
            final double room = PROTECTED_SHARE * fair.get(cell.team()) - teamAllotted.getOrDefault(cell.team(), 0.0);
            allot(cell, Math.min(demand.get(cell), Math.max(0, room)));
        }
    }

    private void allotByPriority(final Map<Integer, Double> caps) {
        final Map<Integer, List<DemandCell>> byPriority = new TreeMap<>();
        demand.keySet().forEach(cell -> byPriority
                .computeIfAbsent(cell.priority(), ignored -> new ArrayList<>())
                .add(cell));
        byPriority.values().forEach(cells -> allotFairly(cells, caps));
    }

    /** Raises the teams of one priority to a common level, as far as the capacity goes. */
    private void allotFairly(final List<DemandCell> cells, final Map<Integer, Double> caps) {
        double low = 0;
        double high =
                teamDemand.values().stream().mapToDouble(Double::doubleValue).sum();
        if (needed(cells, caps, high) > left) {
            for (int i = 0; i < 40; i++) {
                final double middle = (low + high) / 2;
                if (needed(cells, caps, middle) > left) {
                    high = middle;
                } else {
                    low = middle;
                }
            }
        } else {
            low = high;
        }
        for (final DemandCell cell : cells) {
            allot(cell, more(cell, caps, low));
        }
    }

    private double needed(final List<DemandCell> cells, final Map<Integer, Double> caps, final double level) {
        return cells.stream().mapToDouble(cell -> more(cell, caps, level)).sum();
    }

    private double more(final DemandCell cell, final Map<Integer, Double> caps, final double level) {
        final double room = Math.min(level * weight(cell.team()), caps.get(cell.team()))
                - teamAllotted.getOrDefault(cell.team(), 0.0);
        return Math.max(0, Math.min(demand.get(cell) - allotted.getOrDefault(cell, 0.0), room));
    }

    private void allot(final DemandCell cell, final double units) {
        allotted.merge(cell, units, Double::sum);
        teamAllotted.merge(cell.team(), units, Double::sum);
        left = Math.max(0, left - units);
    }

    private double medianGrowth() {
        final double[] growths = teamDemand.entrySet().stream()
                .filter(each -> usual.getOrDefault(each.getKey(), 0.0) > 0)
                .mapToDouble(each -> each.getValue() / usual.get(each.getKey()))
                .sorted()
                .toArray();
        return growths.length == 0 ? 1 : Math.max(1, growths[(growths.length - 1) / 2]);
    }
}
