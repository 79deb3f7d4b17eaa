package org.balsambank.core.port;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * Sends requests and commands to targets.
 *
 * <p>Calls fail with {@link TargetException}. Results arrive on the decision loop of the VM.
 */
public interface TargetClient {
    /**
     * Sends a request to a target. The stream completes after an end event, or fails; it fails within seconds if the
     * target stops responding. Disposing the subscription cancels the request at the target.
     *
     * @param target the target
     * @param epoch the fencing number
     * @param request the request, without API keys
     * @return the response events; the request is sent on subscription
     */
    Flowable<RelayEvent> send(Target target, Epoch epoch, RelayRequest request);

    /**
     * Reads the state that a target reports about itself. The values may be out of date.
     *
     * @param target the target
     * @return the report
     */
    Single<TargetReport> report(Target target);

    /**
     * Commands an engine to load an adapter version.
     *
     * @param target the engine
     * @param epoch the fencing number
     * @param adapter the adapter version
     * @return completes when the version is loaded
     */
    Completable load(Target target, Epoch epoch, AdapterRef adapter);

    /**
     * Commands an engine to evict an adapter version.
     *
     * @param target the engine
     * @param epoch the fencing number
     * @param adapter the adapter version
     * @return completes when the version is evicted
     */
    Completable evict(Target target, Epoch epoch, AdapterRef adapter);
}
