package org.balsambank.standin.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.client.ServiceCall;
import org.balsambank.standin.load.Profile;

/**
 * A caller that retries one call with the same idempotency key after each error.
 *
 * <p>At most one attempt is in flight.
 */
final class RetryingCaller {
    private static final long RETRY_MILLIS = 200;
    private static final String OUTCOME_UNKNOWN = "idempotency_unknown";

    private final CallerClient client;
    private final Profile profile;
    private final List<Endpoint> vms;
    private final String key;
    private final int maxAttempts;
    private final Map<String, Integer> errors = new TreeMap<>();
    private final List<String> notExecuted = new ArrayList<>();

    private int attempts;
    private CallResult last = CallResult.NOTHING;

    /**
     * Creates a caller that has sent nothing.
     *
     * @param client sends the calls
     * @param profile the deployment
     * @param vms the VMs; each attempt uses the next one
     * @param key the idempotency key
     * @param maxAttempts the number of attempts after which the caller gives up
     */
    RetryingCaller(
            final CallerClient client,
            final Profile profile,
            final List<Endpoint> vms,
            final String key,
            final int maxAttempts) {
        this.client = client;
        this.profile = profile;
        this.vms = vms;
        this.key = key;
        this.maxAttempts = maxAttempts;
    }

    /**
     * Sends the call until it is answered, its outcome is permanently unknown, or the caller gives up.
     *
     * @return this caller when it is done
     */
    Single<RetryingCaller> run() {
        return Single.defer(this::attempt)
                .repeatWhen(ends -> ends.delay(RETRY_MILLIS, TimeUnit.MILLISECONDS))
                .takeUntil((final CallResult result) -> isDone(result))
                .lastOrError()
                .map(ignored -> this);
    }

    /**
     * Returns the idempotency key.
     *
     * @return the key
     */
    String key() {
        return key;
    }

    /**
     * Returns the attempts that a VM reported as not executed.
     *
     * @return their call ids
     */
    List<String> notExecuted() {
        return notExecuted;
    }

    /**
     * Returns the errors of the attempts.
     *
     * @return the number of errors by kind
     */
    Map<String, Integer> errors() {
        return errors;
    }

    /**
     * Returns the number of attempts sent.
     *
     * @return the number of attempts
     */
    int attempts() {
        return attempts;
    }

    /**
     * Returns whether the complete and correct answer was received.
     *
     * @return true if the last attempt received it
     */
    boolean answered() {
        return last.isWhole() && isCorrect(last);
    }

    /**
     * Returns whether a complete answer to another call was received.
     *
     * @return true if the last attempt received one
     */
    boolean answeredIncorrectly() {
        return last.isWhole() && !isCorrect(last);
    }

    /**
     * Returns whether the outcome is permanently unknown.
     *
     * @return true if the last attempt was answered with that error
     */
    boolean outcomeUnknown() {
        return last.kind().equals(OUTCOME_UNKNOWN);
    }

    private Single<CallResult> attempt() {
        attempts++;
        final String callId = key + "-" + attempts;
        final ServiceCall call = new ServiceCall(
                profile.teams().get(0).key(),
                profile.service(),
                profile.servicePath(),
                "{\"key\":\"" + key + "\"}",
                key,
                callId);
        final Endpoint vm = vms.get(Math.floorMod(key.hashCode() + attempts, vms.size()));
        return client.call(vm, call).doOnSuccess(result -> {
            last = result;
            if (!result.isWhole()) {
                errors.merge(result.kind(), 1, Integer::sum);
            }
            if (result.isNotRun()) {
                notExecuted.add(callId);
            }
        });
    }

    private boolean isDone(final CallResult result) {
        return result.isWhole() || outcomeUnknown() || attempts >= maxAttempts;
    }

    private boolean isCorrect(final CallResult result) {
        try {
            return key.equals(new JsonObject(result.text()).getString("key"));
        } catch (final DecodeException e) {
            return false;
        }
    }
}
