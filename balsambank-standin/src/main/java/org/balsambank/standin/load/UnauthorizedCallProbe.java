package org.balsambank.standin.load;

import io.reactivex.rxjava3.core.Completable;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.CompletionCall;
import org.balsambank.standin.client.TokenListener;

/**
 * Sends calls that must be rejected: with the key of a team that may not call the adapter, and with an unknown key.
 *
 * <p>Confined to the event loop of the run.
 */
final class UnauthorizedCallProbe {
    private static final String UNKNOWN_KEY = "unknown-key";
    private static final int TOKENS = 4;

    private final CallerClient client;
    private final LoadBalancer balancer;
    private final Profile profile;

    private int sent;
    private int executedCalls;

    /**
     * Creates a probe.
     *
     * @param client sends the calls
     * @param balancer selects the VMs
     * @param profile the deployment
     */
    UnauthorizedCallProbe(final CallerClient client, final LoadBalancer balancer, final Profile profile) {
        this.client = client;
        this.balancer = balancer;
        this.profile = profile;
    }

    /**
     * Sends the next call, alternating between the two kinds of key after each round over the teams.
     *
     * @return completes when it has ended
     */
    Completable sendNext() {
        final int teams = profile.teams().size();
        final TeamProfile owner = profile.teams().get(sent % teams);
        final String foreignKey = profile.teams().get((sent + 1) % teams).key();
        final String key = sent / teams % 2 == 0 ? foreignKey : UNKNOWN_KEY;
        sent++;
        final CompletionCall call =
                new CompletionCall(key, owner.adapter(0) + "@" + Profile.VERSION, "probe", TOKENS, false);
        return balancer.send(endpoint -> client.complete(endpoint, call, TokenListener.NONE))
                .doOnSuccess(result -> executedCalls += result.isWhole() ? 1 : 0)
                .ignoreElement();
    }

    /**
     * Returns how many calls ran although all must be rejected.
     *
     * @return the number of complete responses
     */
    int executedCalls() {
        return executedCalls;
    }
}
