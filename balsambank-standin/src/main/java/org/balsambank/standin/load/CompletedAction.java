package org.balsambank.standin.load;

/**
 * An action with its result. Times are relative to the start of the run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param action the action
 * @param startNanos when it was started
 * @param endNanos when the response arrived
 * @param accepted true if it was accepted without an error
 * @param response the response text, or the status and the error
 */
record CompletedAction(ScheduledAction action, long startNanos, long endNanos, boolean accepted, String response) {}
