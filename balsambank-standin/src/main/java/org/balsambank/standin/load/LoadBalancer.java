package org.balsambank.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallResult.Outcome;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;

/**
 * Stands in for the platform's load balancer: sends calls to ready VMs, and tries the next VM if one refuses the
 * connection.
 *
 * <p>Confined to the event loop of the run.
 */
final class LoadBalancer {
    private static final int OK = 200;

    private final CallerClient client;
    private final Ports ports;
    private final int vms;
    private final SplittableRandom random;
    private final boolean[] ready;

    /**
     * Creates a balancer that initially assumes that all VMs are ready.
     *
     * @param client sends the readiness checks
     * @param ports the ports of the VMs
     * @param vms the number of VMs
     * @param seed the seed of the VM selection
     */
    LoadBalancer(final CallerClient client, final Ports ports, final int vms, final long seed) {
        this.client = client;
        this.ports = ports;
        this.vms = vms;
        this.random = new SplittableRandom(seed);
        this.ready = new boolean[vms];
        java.util.Arrays.fill(ready, true);
    }

    /**
     * Checks the readiness of all VMs.
     *
     * @return the indices of the ready VMs, once each VM has responded or failed
     */
    Single<List<Integer>> refreshReadiness() {
        final List<Single<Integer>> checks = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            final int vm = i;
            final Endpoint endpoint = new Endpoint(Ports.HOST, ports.operators(vm));
            checks.add(client.fetch(endpoint, HttpMethod.GET, "/readyz", "", "").map(result -> {
                ready[vm] = result.status() == OK;
                return ready[vm] ? vm : -1;
            }));
        }
        return Single.merge(checks).filter(vm -> vm >= 0).toList();
    }

    /**
     * Sends a call to a ready VM. Tries the other VMs in turn while the connection fails.
     *
     * @param sender sends the call to an endpoint
     * @return the result as the caller sees it
     */
    Single<CallResult> send(final Sender sender) {
        final List<Integer> order = vmsInPreferenceOrder();
        return sendFrom(order, 0, sender);
    }

    /**
     * Returns a random VM, preferring ready ones.
     *
     * @return zero-based index of the VM
     */
    int nextVm() {
        return vmsInPreferenceOrder().get(0);
    }

    private Single<CallResult> sendFrom(final List<Integer> order, final int index, final Sender sender) {
        final int vm = order.get(index);
        return sender.sendTo(new Endpoint(Ports.HOST, ports.callers(vm))).flatMap(result -> {
            if (result.outcome() != Outcome.NOT_CONNECTED || index + 1 >= order.size()) {
                return Single.just(result);
            }
            ready[vm] = false;
            return sendFrom(order, index + 1, sender);
        });
    }

    private List<Integer> vmsInPreferenceOrder() {
        final List<Integer> readyVms = new ArrayList<>();
        final List<Integer> otherVms = new ArrayList<>();
        final int start = random.nextInt(vms);
        for (int i = 0; i < vms; i++) {
            final int vm = (start + i) % vms;
            (ready[vm] ? readyVms : otherVms).add(vm);
        }
        readyVms.addAll(otherVms);
        return readyVms;
    }

    /** Sends one call to an endpoint. */
    @FunctionalInterface
    interface Sender {
        /**
         * Sends the call.
         *
         * @param endpoint the callers' endpoint of the VM
         * @return the result as the caller sees it
         */
        Single<CallResult> sendTo(Endpoint endpoint);
    }
}
