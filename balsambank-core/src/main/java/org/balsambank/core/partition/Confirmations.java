package org.balsambank.core.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.ConfirmAnswer;
import org.balsambank.protocol.generated.ownership.ConfirmRequest;

/**
 * Collects what the voters say of the assignment that this VM has adopted.
 *
 * <p>Confined to the decision loop. Invariants: what was said of another version does not count; a promise counts from
 * before it was asked for.
 */
final class Confirmations {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY = Duration.ofMillis(300);
    private static final long NONE = Long.MIN_VALUE;

    private final PeerTransport peers;
    private final TimerService timer;
    private final OwnershipSettings settings;
    private final Voter self;
    private final VoterPromises own;
    private final Predicate<Voter> gone;
    private final Consumer<StoredAssignment> newer;
    private final Set<Voter> adopted = new HashSet<>();
    private final Set<Voter> behind = new HashSet<>();
    private final Map<Voter, Long> promisedUntil = new HashMap<>();
    private StoredAssignment current;
    private Set<Voter> voters = Set.of();
    private long promisedUntilNanos = NONE;

    /**
     * Creates a collector without answers.
     *
     * @param peers the links
     * @param timer gives the time
     * @param settings the durations
     * @param self this process
     * @param own the promises of this process
     * @param gone tells whether a voter is gone for good, for longer than a promise lasts
     * @param newer takes an assignment that a voter knows and this VM does not
     */
    Confirmations(
            final PeerTransport peers,
            final TimerService timer,
            final OwnershipSettings settings,
            final Voter self,
            final VoterPromises own,
            final Predicate<Voter> gone,
            final Consumer<StoredAssignment> newer) {
        this.peers = peers;
        this.timer = timer;
        this.settings = settings;
        this.self = self;
        this.own = own;
        this.gone = gone;
        this.newer = newer;
        current = new StoredAssignment(Assignment.empty(settings.partitions()), 0);
    }

    /**
     * Starts to collect for a later version.
     *
     * @param next the assignment
     */
    void adopt(final StoredAssignment next) {
        current = next;
        adopted.clear();
        behind.clear();
        promisedUntil.clear();
        promisedUntilNanos = NONE;
        final Set<Voter> all = new TreeSet<>();
        next.assignment().voterSets().forEach(all::addAll);
        all.remove(self);
        voters = all;
    }

    /**
     * Tells whether no earlier version can be in force any more.
     *
     * @return true if enough voters have adopted this one
     */
    boolean confirmed() {
        return Quorum.superseded(current.assignment().voterSets(), this::hasAdopted, gone);
    }

    /**
     * Tells until when this version stays in force by the promises of the voters.
     *
     * @return true if it does at this instant
     */
    boolean promised() {
        return promisedUntilNanos != NONE && timer.nanoTime() < promisedUntilNanos;
    }

    /**
     * Asks the voters until the version is confirmed or another one is adopted.
     *
     * @return completes when the version is confirmed; never if another one comes first
     */
    Completable confirm() {
        return Completable.defer(() -> {
            final long version = current.assignment().version();
            return Flowable.defer(() -> timer.every(RETRY).startWithItem(0L))
                    .takeWhile(tick -> !confirmed() && current.assignment().version() == version)
                    .doOnNext(tick -> askToConfirm())
                    .ignoreElements();
        });
    }

    /** Asks all voters to keep the version in force. */
    void askForPromises() {
        final long sentNanos = timer.nanoTime();
        final long version = current.assignment().version();
        final ConfirmRequest request =
                ConfirmRequest.newBuilder().setVersion(version).setPromise(true).build();
        voters.forEach(voter -> ask(voter, request, answer -> {
            if (answer.getGranted()) {
                promised(voter, sentNanos);
            }
        }));
        recount();
    }

    private void askToConfirm() {
        final long version = current.assignment().version();
        final ConfirmRequest plain =
                ConfirmRequest.newBuilder().setVersion(version).build();
        final ConfirmRequest full = plain.toBuilder()
                .setAssignment(AssignmentCodec.encode(current.assignment()))
                .setRevision(current.revision())
                .build();
        voters.stream()
                .filter(voter -> !adopted.contains(voter) && !gone.test(voter))
                .forEach(voter -> ask(voter, behind.contains(voter) ? full : plain, answer -> {
                    if (answer.getGranted()) {
                        adopted.add(voter);
                    } else if (answer.getVersion() < version) {
                        behind.add(voter);
                    }
                }));
    }

    private void ask(final Voter voter, final ConfirmRequest request, final Consumer<ConfirmAnswer> consumer) {
        peers.call(voter.vm(), OwnershipMethods.CONFIRM, request, TIMEOUT)
                .subscribe(
                        answer -> {
                            if (!answer.getAssignment().isEmpty()) {
                                offer(answer.getAssignment(), answer.getRevision());
                            }
                            final boolean asked =
                                    request.getVersion() == current.assignment().version();
                            if (asked && answer.getBoot().equals(voter.boot())) {
                                consumer.accept(answer);
                            }
                        },
                        ignored -> {});
    }

    private void offer(final ByteString value, final long revision) throws Exception {
        newer.accept(new StoredAssignment(AssignmentCodec.decode(value), revision));
    }

    private void promised(final Voter voter, final long sentNanos) {
        final long usable =
                settings.promiseFor().minus(settings.promiseMargin()).toNanos();
        promisedUntil.merge(voter, sentNanos + usable, Math::max);
        recount();
    }

    private void recount() {
        long earliest = Long.MAX_VALUE;
        for (final Set<Voter> set : current.assignment().voterSets()) {
            earliest = Math.min(earliest, majorityUntil(set));
        }
        promisedUntilNanos = current.assignment().voterSets().isEmpty() ? NONE : earliest;
    }

    private long majorityUntil(final Set<Voter> set) {
        final List<Long> ends = new ArrayList<>();
        set.forEach(voter -> ends.add(voter.equals(self) ? Long.MAX_VALUE : promisedUntil.getOrDefault(voter, NONE)));
        ends.sort(null);
        return ends.get(ends.size() - Quorum.majority(ends.size()));
    }

    private boolean hasAdopted(final Voter voter) {
        return voter.equals(self) ? own.confirm(current.assignment().version()) : adopted.contains(voter);
    }
}
