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
 * Collects the confirmations and promises of the voters for the assignment that this VM has adopted.
 *
 * <p>Confined to the decision loop. Invariants: a response about another version is ignored; the duration of a promise
 * counts from before its request was sent.
 */
final class Confirmations {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_PERIOD = Duration.ofMillis(300);
    private static final long NONE = Long.MIN_VALUE;

    private final PeerTransport peers;
    private final TimerService timer;
    private final OwnershipSettings settings;
    private final Voter self;
    private final VoterPromises ownPromises;
    private final Predicate<Voter> gone;
    private final Consumer<StoredAssignment> onNewer;
    private final Set<Voter> adopted = new HashSet<>();
    private final Set<Voter> outdated = new HashSet<>();
    private final Map<Voter, Long> promisedUntil = new HashMap<>();
    private StoredAssignment current;
    private Set<Voter> voters = Set.of();
    private long promisedUntilNanos = NONE;

    /**
     * Creates a collector that has received no responses.
     *
     * @param peers the connections to the other VMs
     * @param timer the clock and timers
     * @param settings the ownership settings
     * @param self this VM's process
     * @param ownPromises the promises that this process has made as a voter
     * @param gone whether a voter has been permanently gone for longer than a promise lasts
     * @param onNewer called with an assignment from a voter, which may be newer than the adopted one
     */
    Confirmations(
            final PeerTransport peers,
            final TimerService timer,
            final OwnershipSettings settings,
            final Voter self,
            final VoterPromises ownPromises,
            final Predicate<Voter> gone,
            final Consumer<StoredAssignment> onNewer) {
        this.peers = peers;
        this.timer = timer;
        this.settings = settings;
        this.self = self;
        this.ownPromises = ownPromises;
        this.gone = gone;
        this.onNewer = onNewer;
        current = new StoredAssignment(Assignment.empty(settings.partitions()), 0);
    }

    /**
     * Discards the responses and starts to collect for a later version.
     *
     * @param next the assignment
     */
    void adopt(final StoredAssignment next) {
        current = next;
        adopted.clear();
        outdated.clear();
        promisedUntil.clear();
        promisedUntilNanos = NONE;
        final Set<Voter> all = new TreeSet<>();
        next.assignment().voterSets().forEach(all::addAll);
        all.remove(self);
        voters = all;
    }

    /**
     * Returns whether no earlier version can be in force any more.
     *
     * @return true if enough voters have adopted this one
     */
    boolean confirmed() {
        return Quorum.superseded(current.assignment().voterSets(), this::hasAdopted, gone);
    }

    /**
     * Returns whether the promises of the voters keep this version in force.
     *
     * @return true if a majority of each voter set has a promise that has not expired
     */
    boolean promised() {
        return promisedUntilNanos != NONE && timer.nanoTime() < promisedUntilNanos;
    }

    /**
     * Requests confirmations until the version is confirmed or another one is adopted.
     *
     * @return completes when the version is confirmed or another one is adopted; callers check {@link #confirmed}
     */
    Completable confirm() {
        return Completable.defer(() -> {
            final long version = current.assignment().version();
            return Flowable.defer(() -> timer.every(RETRY_PERIOD).startWithItem(0L))
                    .takeWhile(tick -> !confirmed() && current.assignment().version() == version)
                    .doOnNext(tick -> requestConfirmations())
                    .ignoreElements();
        });
    }

    /** Requests promises from all voters to keep the version in force. */
    void requestPromises() {
        final long sentNanos = timer.nanoTime();
        final long version = current.assignment().version();
        final ConfirmRequest request =
                ConfirmRequest.newBuilder().setVersion(version).setPromise(true).build();
        voters.forEach(voter -> request(voter, request, response -> {
            if (response.getGranted()) {
                addPromise(voter, sentNanos);
            }
        }));
        updatePromisedUntil();
    }

    private void requestConfirmations() {
        final long version = current.assignment().version();
        final ConfirmRequest brief =
                ConfirmRequest.newBuilder().setVersion(version).build();
        final ConfirmRequest full = brief.toBuilder()
                .setAssignment(AssignmentCodec.encode(current.assignment()))
                .setRevision(current.revision())
                .build();
        voters.stream()
                .filter(voter -> !adopted.contains(voter) && !gone.test(voter))
                .forEach(voter -> request(voter, outdated.contains(voter) ? full : brief, response -> {
                    if (response.getGranted()) {
                        adopted.add(voter);
                    } else if (response.getVersion() < version) {
                        outdated.add(voter);
                    }
                }));
    }

    private void request(final Voter voter, final ConfirmRequest request, final Consumer<ConfirmAnswer> consumer) {
        peers.call(voter.vm(), OwnershipMethods.CONFIRM, request, CALL_TIMEOUT)
                .subscribe(
                        response -> {
                            if (!response.getAssignment().isEmpty()) {
                                forwardAssignment(response.getAssignment(), response.getRevision());
                            }
                            final boolean sameVersion =
                                    request.getVersion() == current.assignment().version();
                            if (sameVersion && response.getBoot().equals(voter.boot())) {
                                consumer.accept(response);
                            }
                        },
                        ignored -> {});
    }

    private void forwardAssignment(final ByteString value, final long revision) throws Exception {
        onNewer.accept(new StoredAssignment(AssignmentCodec.decode(value), revision));
    }

    private void addPromise(final Voter voter, final long sentNanos) {
        final long usable =
                settings.promiseFor().minus(settings.promiseMargin()).toNanos();
        promisedUntil.merge(voter, sentNanos + usable, Math::max);
        updatePromisedUntil();
    }

    private void updatePromisedUntil() {
        long earliest = Long.MAX_VALUE;
        for (final Set<Voter> set : current.assignment().voterSets()) {
            earliest = Math.min(earliest, majorityPromisedUntil(set));
        }
        promisedUntilNanos = current.assignment().voterSets().isEmpty() ? NONE : earliest;
    }

    private long majorityPromisedUntil(final Set<Voter> set) {
        final List<Long> ends = new ArrayList<>();
        set.forEach(voter -> ends.add(voter.equals(self) ? Long.MAX_VALUE : promisedUntil.getOrDefault(voter, NONE)));
        ends.sort(null);
        return ends.get(ends.size() - Quorum.majority(ends.size()));
    }

    private boolean hasAdopted(final Voter voter) {
        return voter.equals(self) ? ownPromises.confirm(current.assignment().version()) : adopted.contains(voter);
    }
}
