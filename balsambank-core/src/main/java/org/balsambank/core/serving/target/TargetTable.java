package org.balsambank.core.serving.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;

/**
 * The targets that have announced themselves.
 *
 * <p>Invariant: an announcement never replaces one with a higher revision. An announcement that ends right after an
 * outage of the key-value service may have lapsed; its target counts for {@link #LAPSE_GRACE} after the outage. What
 * has gone is forgotten after ten minutes; the replica keeps older announcements of it out. Confined to the decision
 * loop.
 */
public final class TargetTable {
    /** How long after an outage a lapsed announcement may come back. */
    public static final Duration LAPSE_GRACE = Duration.ofMillis(1_800);

    private static final long FORGET_NANOS = Duration.ofMinutes(10).toNanos();

    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetId, TargetState> beliefs = new TreeMap<>();
    private final Set<FailureDomain> domainsOut = new HashSet<>();
    private boolean outageSeen;
    private long regainedNanos;

    /**
     * Creates an empty table.
     *
     * @param timer gives the time
     * @param log takes a line for each change of a belief
     */
    public TargetTable(final TimerService timer, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * A target has announced itself.
     *
     * @param entry the announcement
     * @param revision its revision
     * @return true if the target is new or has started again
     */
    public boolean announced(final TargetAnnouncement entry, final long revision) {
        final TargetState known = beliefs.get(entry.id());
        if (known != null && known.revision() >= revision) {
            return false;
        }
        final long now = timer.nanoTime();
        final long coldUntil = now + Duration.ofMillis(entry.coldMillis()).toNanos();
        beliefs.put(entry.id(), new TargetState(entry, revision, now, coldUntil, Long.MAX_VALUE));
        final boolean restarted = known == null || known.entry().startedMillis() != entry.startedMillis();
        if (restarted || known.entry().leaving() != entry.leaving() || entry.coldMillis() > 0) {
            log.line("target_announced")
                    .with("target", entry.id().value())
                    .with("revision", revision)
                    .with("leaving", String.valueOf(entry.leaving()))
                    .with("cold_ms", entry.coldMillis())
                    .write();
        }
        return restarted;
    }

    /**
     * The announcement of a target is gone.
     *
     * @param id the target
     * @param revision the revision of the removal
     */
    public void removed(final TargetId id, final long revision) {
        final TargetState known = beliefs.get(id);
        if (known == null || known.revision() >= revision || known.goneAtNanos() != Long.MAX_VALUE) {
            return;
        }
        final long now = timer.nanoTime();
        beliefs.values().removeIf(each -> each.goneFor(now) > FORGET_NANOS);
        final boolean lapsed = outageSeen
                && now - regainedNanos < LAPSE_GRACE.toNanos()
                && !known.entry().leaving();
        final long goneAt = lapsed ? regainedNanos + LAPSE_GRACE.toNanos() : now;
        beliefs.put(id, new TargetState(known.entry(), revision, known.learnedNanos(), known.coldUntilNanos(), goneAt));
        log.line(lapsed ? "target_lapsed" : "target_gone")
                .with("target", id.value())
                .with("revision", revision)
                .write();
    }

    /**
     * The key-value service answers again after an outage.
     *
     * @param ago how long it has done so
     */
    public void regained(final Duration ago) {
        outageSeen = true;
        regainedNanos = timer.nanoTime() - ago.toNanos();
    }

    /**
     * Takes a failure domain out, or back in.
     *
     * @param domain the failure domain
     * @param out true if it is to get nothing more
     */
    public void domain(final FailureDomain domain, final boolean out) {
        final boolean changed = out ? domainsOut.add(domain) : domainsOut.remove(domain);
        if (changed) {
            log.line(out ? "domain_out" : "domain_in")
                    .with("domain", domain.value())
                    .write();
        }
    }

    /**
     * Returns the targets of a service that may get new work.
     *
     * @param service the service
     * @return the targets, ordered by id
     */
    public List<TargetState> usable(final ServiceName service) {
        final long now = timer.nanoTime();
        final List<TargetState> usable = new ArrayList<>();
        for (final TargetState belief : beliefs.values()) {
            final TargetAnnouncement entry = belief.entry();
            if (entry.service().equals(service) && belief.usable(now) && !domainsOut.contains(entry.domain())) {
                usable.add(belief);
            }
        }
        return usable;
    }

    /**
     * Tells whether a target may get new work.
     *
     * @param id the target
     * @return false if it is unknown, leaving, gone or in a failure domain that is out
     */
    public boolean usable(final TargetId id) {
        final TargetState belief = beliefs.get(id);
        return belief != null
                && belief.usable(timer.nanoTime())
                && !domainsOut.contains(belief.entry().domain());
    }

    /**
     * Finds a target.
     *
     * @param id the target
     * @return what is believed of it, if anything
     */
    public Optional<TargetState> find(final TargetId id) {
        return Optional.ofNullable(beliefs.get(id));
    }

    /**
     * Returns all targets, also those that get no work.
     *
     * @return the beliefs, ordered by id
     */
    public Collection<TargetState> all() {
        return beliefs.values();
    }
}
