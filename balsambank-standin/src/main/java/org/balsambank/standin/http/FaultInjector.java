package org.balsambank.standin.http;

import io.vertx.core.Handler;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Delays, rejects, disconnects or ignores requests to a stand-in, as configured by control requests.
 *
 * <p>Confined to the event loop of its server. Control requests bypass it.
 */
public final class FaultInjector implements Handler<RoutingContext> {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private boolean outage;
    private boolean silent;
    private boolean refuse;
    private long slowMillis;
    private long frozenUntilNanos = System.nanoTime();

    /**
     * Updates the faults that a control request names and leaves the others unchanged.
     *
     * @param order the body of the control request; may contain {@code outage}, {@code silent}, {@code refuse},
     *     {@code slowMillis} and {@code freezeMillis}
     */
    public void apply(final JsonObject order) {
        outage = order.getBoolean("outage", outage);
        silent = order.getBoolean("silent", silent);
        refuse = order.getBoolean("refuse", refuse);
        slowMillis = order.getLong("slowMillis", slowMillis);
        if (order.containsKey("freezeMillis")) {
            frozenUntilNanos = System.nanoTime() + order.getLong("freezeMillis") * NANOS_PER_MILLI;
        }
    }

    /**
     * Returns whether an outage is active, in which each request closes its connection.
     *
     * @return true during an outage
     */
    public boolean outage() {
        return outage;
    }

    /**
     * Returns the remaining time of a freeze.
     *
     * @return milliseconds, 0 if it is not frozen
     */
    public long frozenMillis() {
        final long remaining = frozenUntilNanos - System.nanoTime();
        return remaining <= 0 ? 0 : remaining / NANOS_PER_MILLI + 1;
    }

    @Override
    public void handle(final RoutingContext context) {
        if (outage) {
            context.request().connection().close();
            return;
        }
        if (silent) {
            return;
        }
        if (refuse) {
            Answers.error(context, SERVICE_UNAVAILABLE, "the stand-in refuses calls");
            return;
        }
        final long delay = Math.max(slowMillis, frozenMillis());
        if (delay > 0) {
            context.vertx().setTimer(delay, ignored -> context.next());
        } else {
            context.next();
        }
    }
}
