package org.balsambank.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.balsambank.standin.load.ScheduledAction.Verb;

/**
 * Measures the service level while a failure domain is taken out and back in, and the requests that it gets while out.
 *
 * <p>Immutable after construction and thread-safe.
 */
final class DomainOutageMetrics {
    /** How long a target may still get new requests after its failure domain is taken out. */
    static final Duration GRACE = Duration.ofSeconds(5);

    /**
     * Assumed upper bound of the time from dispatch to the first token. A request that is sent during the outage and
     * gets its first token later than this after the return counts as dispatched after the return: it was waiting.
     */
    private static final Duration MAX_FIRST_TOKEN = Duration.ofSeconds(2);

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double PERCENT = 100;

    private final LoadResult result;
    private final Map<String, String> domainOfTarget = new HashMap<>();
    private final List<Outage> outages = new ArrayList<>();

    /**
     * Computes the metrics of a run.
     *
     * @param result the result of the run
     */
    DomainOutageMetrics(final LoadResult result) {
        this.result = result;
        final Profile profile = result.settings().profile();
        for (int i = 0; i < Profile.ENGINES; i++) {
            domainOfTarget.put(DeploymentFiles.engine(i), profile.domain(i));
        }
        for (int i = 0; i < Profile.SERVICES; i++) {
            domainOfTarget.put(DeploymentFiles.application(i), profile.domain(i));
        }
        for (final CompletedAction completed : result.actions()) {
            if (completed.action().verb() == Verb.DOMAIN_OUT && completed.accepted()) {
                outages.add(createOutage(completed));
            }
        }
    }

    /**
     * Returns whether a failure domain was taken out during the run.
     *
     * @return true if there was an outage
     */
    boolean hasOutages() {
        return !outages.isEmpty();
    }

    /**
     * Returns the number of requests that were sent more than {@link #GRACE} after a failure domain was taken out, and
     * ran there before it returned.
     *
     * @return the count over all failure domains
     */
    long requestsWhileOut() {
        return outages.stream().mapToLong(outage -> outage.requests().size()).sum();
    }

    /**
     * Returns the metrics of the first outage, and the value of {@link #requestsWhileOut()} for all outages.
     *
     * @return the values by name, empty if no failure domain was taken out
     */
    JsonObject toJson() {
        if (!hasOutages()) {
            return new JsonObject();
        }
        final Outage first = outages.get(0);
        return new JsonObject()
                .put("servedBeforeOut", first.before())
                .put("servedWhileLeaving", first.leaving())
                .put("servedWhileOut", first.during())
                .put("servedWhileReturning", first.returning())
                .put("newWorkWhileOut", requestsWhileOut());
    }

    /**
     * Returns the lines of the report table.
     *
     * @return one line for each outage, each followed by a line for each request counted by {@link #requestsWhileOut()}
     */
    List<String> lines() {
        if (!hasOutages()) {
            return List.of("share of requests served during an outage: no failure domain was taken out in this run");
        }
        return outages.stream()
                .flatMap(outage -> Stream.concat(
                        Stream.of(describe(outage)), outage.requests().stream().map(DomainOutageMetrics::describe)))
                .toList();
    }

    private static String describe(final Outage outage) {
        return String.format(
                Locale.ROOT,
                "share of requests within the rate served, %s out from %.0f to %.0f s: before %.2f%%, "
                        + "leaving %.2f%%, out %.2f%%, returning %.2f%%; "
                        + "requests run in the domain later than %d s after it was taken out: %d",
                outage.domain(),
                RunClock.seconds(outage.outNanos()),
                RunClock.seconds(outage.inNanos()),
                PERCENT * outage.before(),
                PERCENT * outage.leaving(),
                PERCENT * outage.during(),
                PERCENT * outage.returning(),
                GRACE.toSeconds(),
                outage.requests().size());
    }

    private Outage createOutage(final CompletedAction completed) {
        final String domain = completed.action().argument();
        final long out = completed.endNanos();
        final long in = result.actions().stream()
                .filter(other -> other.action().verb() == Verb.DOMAIN_IN)
                .filter(other -> other.action().argument().equals(domain) && other.startNanos() > out)
                .mapToLong(CompletedAction::startNanos)
                .findFirst()
                .orElse(Long.MAX_VALUE / 2);
        final long window = WINDOW.toNanos();
        return new Outage(
                domain,
                out,
                in,
                shareServed(out - window, out),
                shareServed(out, out + window),
                shareServed(out, in),
                shareServed(in, in + window),
                requestsDuring(domain, out + GRACE.toNanos(), in));
    }

    private double shareServed(final long from, final long until) {
        long within = 0;
        long served = 0;
        for (final CallRecord record : result.records()) {
            if (record.withinRate()
                    && record.call().offsetNanos() >= from
                    && record.call().offsetNanos() < until) {
                within++;
                served += record.served() ? 1 : 0;
            }
        }
        return within == 0 ? 1 : (double) served / within;
    }

    private List<CallRecord> requestsDuring(final String domain, final long from, final long until) {
        return result.records().stream()
                .filter(record ->
                        record.call().offsetNanos() >= from && record.call().offsetNanos() < until)
                .filter(record ->
                        domain.equals(domainOfTarget.get(record.result().target())))
                .filter(record -> record.call().offsetNanos() + record.result().firstTokenNanos()
                        < until + MAX_FIRST_TOKEN.toNanos())
                .toList();
    }

    private static String describe(final CallRecord record) {
        final long at = record.call().offsetNanos();
        return String.format(
                Locale.ROOT,
                "request run in a domain that was out: %s, sent at %.1f s, first token at %.1f s, ended at %.1f s",
                record.result().target(),
                RunClock.seconds(at),
                RunClock.seconds(at + record.result().firstTokenNanos()),
                RunClock.seconds(at + record.result().durationNanos()));
    }

    /**
     * An outage of a failure domain. Times are relative to the start of the run.
     *
     * <p>Immutable and thread-safe.
     *
     * @param domain the failure domain
     * @param outNanos when taking it out was accepted
     * @param inNanos when its return was requested, {@code Long.MAX_VALUE / 2} if it was not
     * @param before the fraction served just before the outage
     * @param leaving the fraction served just after the domain was taken out
     * @param during the fraction served while it was out
     * @param returning the fraction served just after it was taken back in
     * @param requests the requests that were sent more than {@link #GRACE} after it was taken out, and ran there before
     *     it returned
     */
    private record Outage(
            String domain,
            long outNanos,
            long inNanos,
            double before,
            double leaving,
            double during,
            double returning,
            List<CallRecord> requests) {}
}
