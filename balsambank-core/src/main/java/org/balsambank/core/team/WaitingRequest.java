package org.balsambank.core.team;

import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * A request that waits for units.
 *
 * <p>Confined to the decision loop.
 *
 * @param units the number of units that it needs
 * @param sinceNanos the monotonic time at which it started to wait
 * @param emitter receives the grant or the refusal
 */
record WaitingRequest(double units, long sinceNanos, SingleEmitter<RateGrant> emitter) {}
