package org.balsambank.daemon;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.balsambank.coordination.HttpKeyValueStore;
import org.balsambank.coordination.HttpVmList;
import org.balsambank.coordination.KeyValueTimeouts;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.time.TimerService;
import org.balsambank.daemon.settings.Settings;
import org.balsambank.daemon.target.HttpTargetClient;
import org.balsambank.daemon.target.TargetTimeouts;
import org.balsambank.peer.NettyPeerTransport;
import org.balsambank.peer.PeerAddresses;
import org.balsambank.peer.PeerSettings;

/**
 * What a VM meets the outside through.
 *
 * <p>Immutable; the parts are confined to the decision loop.
 *
 * @param store the key-value service
 * @param roster the VM list
 * @param peers the links to the other VMs
 * @param targets sends to targets
 */
record ExternalClients(KeyValueStore store, VmDirectory roster, NettyPeerTransport peers, TargetClient targets) {
    /**
     * Opens the clients of a VM. No connection is made yet.
     *
     * @param vertx the event loops
     * @param loop the decision loop
     * @param settings the settings of the VM
     * @param registry counts calls
     * @return the clients
     */
    static ExternalClients open(
            final Vertx vertx, final DecisionLoop loop, final Settings settings, final MeterRegistry registry) {
        final WebClient client = WebClient.create(vertx);
        final TimerService timer = loop.timer();
        final KeyValueTimeouts limits =
                new KeyValueTimeouts(settings.keyValueTimeout(), KeyValueTimeouts.DEFAULT.watch());
        final PeerAddresses addresses = new PeerAddresses();
        final VmDirectory roster = new VmDirectory(
                self(settings),
                new HttpVmList(client, loop.context(), settings.vmListUrl(), settings.keyValueTimeout()),
                addresses);
        final NettyPeerTransport peers = new NettyPeerTransport(
                settings.vm(),
                addresses,
                PeerSettings.withToken(ByteString.copyFromUtf8(settings.peers().token())),
                timer,
                loop,
                registry);
        return new ExternalClients(
                new HttpKeyValueStore(client, loop.context(), settings.keyValueUrl(), limits),
                roster,
                peers,
                new HttpTargetClient(vertx, timer, TargetTimeouts.DEFAULT));
    }

    /**
     * Describes this VM as the others see it.
     *
     * @param settings the settings of the VM
     * @return the entry
     */
    static VmEntry self(final Settings settings) {
        return new VmEntry(
                settings.vm(),
                settings.failureDomain(),
                settings.peers().host(),
                settings.peers().port(),
                false);
    }
}
