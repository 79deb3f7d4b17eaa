package org.balsambank.daemon;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
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
 * The clients through which a VM reaches external services and the other VMs.
 *
 * <p>Immutable; the clients are confined to the decision loop.
 *
 * @param store the client of the key-value service
 * @param vmDirectory the VM list with the last known VMs
 * @param peers the connections to the other VMs
 * @param targets the client of the targets
 */
record ExternalClients(KeyValueStore store, VmDirectory vmDirectory, NettyPeerTransport peers, TargetClient targets) {
    /**
     * Creates the clients of a VM without opening connections.
     *
     * @param vertx the event loops
     * @param loop the decision loop
     * @param settings the settings of the VM
     * @param registry the meter registry
     * @return the clients
     */
    static ExternalClients open(
            final Vertx vertx, final DecisionLoop loop, final Settings settings, final MeterRegistry registry) {
        final TimerService timer = loop.timer();
        final KeyValueTimeouts timeouts =
                new KeyValueTimeouts(settings.keyValueTimeout(), KeyValueTimeouts.DEFAULT.watch());
        final PeerAddresses addresses = new PeerAddresses();
        final VmDirectory vmDirectory = new VmDirectory(
                self(settings),
                new HttpVmList(loop.context(), settings.vmListUrl(), settings.keyValueTimeout()),
                addresses);
        final NettyPeerTransport peers = new NettyPeerTransport(
                settings.vm(),
                addresses,
                PeerSettings.withToken(ByteString.copyFromUtf8(settings.peers().token())),
                timer,
                loop,
                registry);
        return new ExternalClients(
                new HttpKeyValueStore(loop.context(), settings.keyValueUrl(), timeouts),
                vmDirectory,
                peers,
                new HttpTargetClient(vertx, timer, TargetTimeouts.DEFAULT, registry));
    }

    /**
     * Returns the VM list entry of this VM.
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
