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
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.target.LeavingMark;
import org.balsambank.core.target.PauseMark;
import org.balsambank.core.time.TimerService;

/**
 * The targets that have announced themselves, and their states.
 *
 * <p>Invariant: within an era of the key-value service, an announcement never replaces one with a higher revision;
 * across eras, the replica orders them. An announcement that is removed right after
 * an outage of the key-value service may only have expired; its target remains usable until {@link #EXPIRY_GRACE} after
 * the outage. Targets that are gone are removed after ten minutes; after that, the replica keeps their older
 * announcements from coming back. Confined to the decision loop.
 */
public final class TargetTable {
    /**
     * How long after an outage a target with an expired announcement remains usable, so that it can announce itself
     * again.
     */
    public static final Duration EXPIRY_GRACE = Duration.ofMillis(1_800);

    private static final int MAX_LOGGED_CHARS = 40;
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetId, TargetState> states = new TreeMap<>();
    private final Set<FailureDomain> domainsOut = new HashSet<>();
    private boolean outageSeen;
    private long recoveredNanos;

    /**
     * Creates an empty table.
     *
     * @param timer the timer service
     * @param log the decision log; gets a line for each change of a target or failure domain
     */
    public TargetTable(final TimerService timer, final DecisionLog log) {
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Records an announcement of a target, unless a newer one is known.
     *
     * @param announcement the announcement
     * @param revision the store revision of the announcement
     * @return true if the target is new or has restarted
     */
    public boolean recordAnnouncement(final TargetAnnouncement announcement, final long revision) {
        final TargetState previous = states.get(announcement.id());
        if (previous != null && notLater(revision, previous)) {
            return false;
        }
        final long now = timer.nanoTime();
        final long coldUntilNanos =
                now + Duration.ofMillis(announcement.coldMillis()).toNanos();
        final boolean restarted =
                previous == null || previous.announcement().startedMillis() != announcement.startedMillis();
        if (restarted && previous != null) {
            logEndOfMarks(previous);
        }
        states.put(
                announcement.id(),
                new TargetState(
                        announcement,
                        revision,
                        now,
                        coldUntilNanos,
                        Long.MAX_VALUE,
                        previous == null ? LeavingMark.NONE : previous.leaving().afterAnnouncement(restarted),
                        previous == null ? PauseMark.NONE : previous.pause().afterAnnouncement(restarted)));
        if (restarted
                || previous.announcement().draining() != announcement.draining()
                || announcement.coldMillis() > 0) {
            log.line("target_announced")
                    .with("target", announcement.id().value())
                    .with("revision", revision)
                    .with("leaving", String.valueOf(announcement.draining()))
                    .with("cold_ms", announcement.coldMillis())
                    .write();
        }
        return restarted;
    }

    /**
     * Records that the announcement of a target was removed.
     *
     * @param id the target
     * @param revision the revision of the removal
     */
    public void recordRemoval(final TargetId id, final long revision) {
        final TargetState previous = states.get(id);
        if (previous == null || notLater(revision, previous) || previous.goneAtNanos() != Long.MAX_VALUE) {
            return;
        }
        final long now = timer.nanoTime();
        states.values().removeIf(each -> each.goneFor(now) > RETENTION_NANOS);
        final boolean expired = outageSeen && now - recoveredNanos < EXPIRY_GRACE.toNanos() && !previous.draining();
        final long goneAtNanos = expired ? recoveredNanos + EXPIRY_GRACE.toNanos() : now;
        states.put(
                id,
                new TargetState(
                        previous.announcement(),
                        revision,
                        previous.receivedNanos(),
                        previous.coldUntilNanos(),
                        goneAtNanos,
                        previous.leaving(),
                        previous.pause()));
        log.line(expired ? "target_lapsed" : "target_gone")
                .with("target", id.value())
                .with("revision", revision)
                .write();
    }

    private static boolean notLater(final long revision, final TargetState previous) {
        return StoreRevision.era(revision) == StoreRevision.era(previous.revision()) && revision <= previous.revision();
    }

    /**
     * Records that a target has said in a response that it leaves. It receives no new requests from this VM until it
     * has started anew, whatever it announces.
     *
     * @param target the start of the target that has responded
     * @param request the request that it responded to
     * @return true if this was not known
     */
    public boolean recordLeaving(final TargetAnnouncement target, final RequestId request) {
        final Optional<TargetState> state = sameStart(target);
        if (state.isEmpty() || state.get().leaving().set()) {
            return false;
        }
        states.put(target.id(), state.get().withLeaving());
        markLine("target_leaving", target).with("request", request.value()).write();
        return true;
    }

    /**
     * Records that a target has rejected a request and wants none from this VM for a time.
     *
     * @param target the start of the target that has responded
     * @param seconds the time as the target has said it
     * @param request the request that it has rejected
     * @return true if the target has a pause; false if the time can't be read or the target has started anew
     */
    public boolean recordPause(final TargetAnnouncement target, final String seconds, final RequestId request) {
        final Optional<Duration> wanted = PauseMark.parse(seconds);
        if (wanted.isEmpty()) {
            markLine("retry_after_ignored", target)
                    .with("request", request.value())
                    .with("value", seconds.substring(0, Math.min(seconds.length(), MAX_LOGGED_CHARS)))
                    .write();
            return false;
        }
        final Optional<TargetState> state = sameStart(target);
        if (state.isEmpty()) {
            return false;
        }
        final TargetState paused = state.get().withPause(timer.nanoTime(), wanted.get());
        states.put(target.id(), paused);
        if (!paused.pause().equals(state.get().pause())) {
            markLine("target_paused", target)
                    .with("request", request.value())
                    .with("pause_ms", wanted.get().toMillis())
                    .write();
            timer.after(wanted.get()).subscribe(() -> logEndOfPause(target, paused.pause()));
        }
        return true;
    }

    private Optional<TargetState> sameStart(final TargetAnnouncement target) {
        return find(target.id()).filter(state -> state.announcement().startedMillis() == target.startedMillis());
    }

    private void logEndOfPause(final TargetAnnouncement target, final PauseMark ended) {
        if (sameStart(target).filter(state -> state.pause().equals(ended)).isPresent()) {
            markLine("target_pause_ended", target).write();
        }
    }

    private void logEndOfMarks(final TargetState previous) {
        if (previous.leaving().set()) {
            markLine("target_leaving_ended", previous.announcement()).write();
        }
        if (!previous.pauseRemaining(timer.nanoTime()).isZero()) {
            markLine("target_pause_ended", previous.announcement()).write();
        }
    }

    private DecisionLog.Line markLine(final String event, final TargetAnnouncement target) {
        return log.line(event).with("target", target.id().value()).with("started_ms", target.startedMillis());
    }

    /**
     * Records that the key-value service is available again after an outage.
     *
     * @param ago the time since it became available
     */
    public void storeRecovered(final Duration ago) {
        outageSeen = true;
        recoveredNanos = timer.nanoTime() - ago.toNanos();
    }

    /**
     * Takes a failure domain out of service, or puts it back.
     *
     * @param domain the failure domain
     * @param out true to stop sending requests to its targets
     */
    public void setDomainOut(final FailureDomain domain, final boolean out) {
        final boolean changed = out ? domainsOut.add(domain) : domainsOut.remove(domain);
        if (changed) {
            log.line(out ? "domain_out" : "domain_in")
                    .with("domain", domain.value())
                    .write();
        }
    }

    /**
     * Returns whether a failure domain is out of service.
     *
     * @param domain the failure domain
     * @return true while its targets receive no requests
     */
    public boolean isOut(final FailureDomain domain) {
        return domainsOut.contains(domain);
    }

    /**
     * Returns the targets of a service that are in service, those with a pause included.
     *
     * @param service the service
     * @return the targets, ordered by id
     */
    public List<TargetState> usable(final ServiceName service) {
        final long now = timer.nanoTime();
        final List<TargetState> usable = new ArrayList<>();
        for (final TargetState state : states.values()) {
            final TargetAnnouncement announcement = state.announcement();
            if (announcement.service().equals(service)
                    && state.usable(now)
                    && !domainsOut.contains(announcement.domain())) {
                usable.add(state);
            }
        }
        return usable;
    }

    /**
     * Returns whether a target may receive new requests.
     *
     * @param id the target
     * @return false if it is unknown, draining, leaving, paused, gone or in a failure domain that is out of service
     */
    public boolean usable(final TargetId id) {
        final long now = timer.nanoTime();
        final TargetState state = states.get(id);
        return state != null
                && state.usable(now)
                && state.pauseRemaining(now).isZero()
                && !domainsOut.contains(state.announcement().domain());
    }

    /**
     * Finds a target.
     *
     * @param id the target
     * @return its state, if it is known
     */
    public Optional<TargetState> find(final TargetId id) {
        return Optional.ofNullable(states.get(id));
    }

    /**
     * Returns all known targets, including those that must not receive requests.
     *
     * @return their states, ordered by id
     */
    public Collection<TargetState> all() {
        return states.values();
    }
}
