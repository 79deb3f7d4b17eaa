package org.balsambank.core.serving.request;

import java.util.Optional;
import java.util.OptionalLong;

import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * One send of a request to a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param maxConnections the connections that this VM may have to it, 0 for no bound
 * @param team the caller's team, if it has one
 * @param remainingMillis how long the caller still waits
 * @param adapterVersion the version that the adapter has there, if that matters
 * @param buffered whether the answer is read whole before any of it is passed on
 */
public record OutgoingAttempt(
        TargetAnnouncement target,
        int maxConnections,
        Optional<TeamId> team,
        long remainingMillis,
        OptionalLong adapterVersion,
        boolean buffered) {}
