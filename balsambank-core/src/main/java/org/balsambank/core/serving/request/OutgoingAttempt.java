package org.balsambank.core.serving.request;

import java.util.Optional;
import java.util.OptionalLong;

import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * The parameters of one attempt to send a request to a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param maxConnections the maximum connections that all VMs may have to it, 0 for no limit
 * @param team the caller's team, if it has one
 * @param remainingMillis the time until the caller's deadline
 * @param adapterVersion the adapter version that the target must have, if it is checked
 * @param buffered whether the response is buffered completely before any of it is forwarded
 */
public record OutgoingAttempt(
        TargetAnnouncement target,
        int maxConnections,
        Optional<TeamId> team,
        long remainingMillis,
        OptionalLong adapterVersion,
        boolean buffered) {}
