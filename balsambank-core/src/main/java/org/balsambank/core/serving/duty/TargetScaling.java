package org.balsambank.core.serving.duty;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

import org.balsambank.core.serving.plan.ScalingSpec;

/**
 * Decides how many targets of a service a failure domain should have.
 *
 * <p>The needed number follows from the load. The level is the number that was needed for at least the boot time in
 * total within the last {@value #HORIZON_MILLIS} ms. It therefore ignores a burst that is shorter than the boot time,
 * follows a jump after the boot time, and stays near the crest of waves whose period is shorter than the horizon. The
 * wanted number rises to the level at once and falls by one at a time, after the level was lower for
 * {@value #DOWN_AFTER_MILLIS} ms.
 *
 * <p>Pure: time and load are given by the caller. Confined to the decision loop.
 */
public final class TargetScaling {
    private static final long HORIZON_MILLIS = 40_000;
    /**
     * A target that is missing for the two boot times after the next jump loses what it costs in some minutes, so it is
     * kept for a part of that.
     */
    private static final long DOWN_AFTER_MILLIS = 120_000;

    private static final long DOWN_STEP_MILLIS = 5_000;
    /** A longer gap between two loads counts as this, as what was needed in between is unknown. */
    private static final long MAX_STEP_MILLIS = 1_000;
    /** A target serves about 8 prompts of 2,400 tokens a second. */
    private static final double PROMPT_TOKENS_PER_SECOND = 8 * 2_400;
    /**
     * The share of the capacity that is planned for. A target-second costs 0.36 and pays for itself with one more
     * request in time in three seconds, so there is room for targets that are slow for a while.
     */
    private static final double PLANNED_USE = 0.65;

    private static final double PLANNED_SLOT_USE = 0.75;
    /** The wanted number falls only if the level, raised by this factor, is lower. */
    private static final double DOWN_MARGIN = 1.1;

    private final ScalingSpec spec;
    private final Deque<Needed> history = new ArrayDeque<>();
    private OptionalInt wanted = OptionalInt.empty();
    private long lowerSinceMillis = Long.MIN_VALUE;
    private long steppedDownMillis = Long.MIN_VALUE;

    /**
     * Creates a decision without a history.
     *
     * @param spec the bounds
     */
    public TargetScaling(final ScalingSpec spec) {
        this.spec = Objects.requireNonNull(spec);
    }

    /**
     * Returns the bounds.
     *
     * @return the bounds that were given
     */
    public ScalingSpec spec() {
        return spec;
    }

    /**
     * Decides from the current load.
     *
     * @param nowMillis the current time; only differences matter
     * @param load the load of the service on all VMs
     * @param announced the targets that this failure domain has announced and that do not leave
     * @return the wanted number of targets, empty until targets were announced
     */
    public OptionalInt decide(final long nowMillis, final Load load, final int announced) {
        if (wanted.isEmpty()) {
            if (announced == 0) {
                return wanted;
            }
            wanted = OptionalInt.of(clamp(announced));
        }
        record(nowMillis, needed(load));
        final double level = level();
        final int current = wanted.getAsInt();
        final int up = clamp((int) Math.ceil(level));
        final int down = clamp((int) Math.ceil(level * DOWN_MARGIN));
        if (up > current) {
            wanted = OptionalInt.of(up);
        }
        if (down >= current) {
            lowerSinceMillis = Long.MIN_VALUE;
        } else if (lowerSinceMillis == Long.MIN_VALUE) {
            lowerSinceMillis = nowMillis;
        } else if (nowMillis - lowerSinceMillis >= DOWN_AFTER_MILLIS && stepDownDue(nowMillis)) {
            wanted = OptionalInt.of(current - 1);
            steppedDownMillis = nowMillis;
        }
        return wanted;
    }

    private boolean stepDownDue(final long nowMillis) {
        return steppedDownMillis == Long.MIN_VALUE || nowMillis - steppedDownMillis >= DOWN_STEP_MILLIS;
    }

    /** Returns the targets that a failure domain needs for a load. */
    static double needed(final Load load) {
        final double forPrompts =
                load.engine ? load.promptTokensPerSecond / (PROMPT_TOKENS_PER_SECOND * PLANNED_USE) : 0;
        final double forSlots = (load.running + load.waiting) / (load.slots * PLANNED_SLOT_USE);
        return Math.max(forPrompts, forSlots) / load.domains;
    }

    private void record(final long nowMillis, final double needed) {
        final long since =
                history.isEmpty() ? 0 : Math.max(0, Math.min(MAX_STEP_MILLIS, nowMillis - history.getLast().atMillis));
        history.addLast(new Needed(nowMillis, since, needed));
        while (nowMillis - history.getFirst().atMillis > HORIZON_MILLIS) {
            history.removeFirst();
        }
    }

    /** Returns the number that was needed for at least the boot time in total, 0 with too short a history. */
    private double level() {
        final List<Needed> highestFirst = history.stream()
                .sorted(Comparator.comparingDouble(Needed::targets).reversed())
                .toList();
        long total = 0;
        for (final Iterator<Needed> each = highestFirst.iterator(); each.hasNext(); ) {
            final Needed needed = each.next();
            total += needed.forMillis;
            if (total >= spec.bootMillis()) {
                return needed.targets;
            }
        }
        return 0;
    }

    private int clamp(final int count) {
        return Math.max(spec.minCount(), Math.min(spec.maxCount(), count));
    }

    /**
     * The load of a service.
     *
     * @param engine whether its targets run models
     * @param promptTokensPerSecond the prompt tokens that callers offer
     * @param running the requests that targets run
     * @param waiting the requests that wait at targets
     * @param slots the requests that one target runs concurrently
     * @param domains the failure domains that share the load
     */
    public record Load(boolean engine, double promptTokensPerSecond, int running, int waiting, int slots, int domains) {
        /** Replaces counts that would divide by zero. */
        public Load {
            slots = Math.max(1, slots);
            domains = Math.max(1, domains);
        }
    }

    /** The targets that were needed for a time. */
    private record Needed(long atMillis, long forMillis, double targets) {}
}
