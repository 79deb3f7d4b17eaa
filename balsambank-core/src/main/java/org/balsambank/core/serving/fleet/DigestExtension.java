package org.balsambank.core.serving.fleet;

import java.util.Set;

import org.balsambank.core.id.VmId;
import org.balsambank.protocol.generated.serving.Digest;

/** Adds to the digests of this VM, and receives what other VMs have added. Confined to the decision loop. */
public interface DigestExtension {
    /** Adds nothing. */
    DigestExtension NONE = new DigestExtension() {
        @Override
        public void add(final Digest.Builder digest, final VmId other, final Set<VmId> excluded, final boolean full) {}

        @Override
        public void received(final VmId other, final Digest digest) {}

        @Override
        public void edgeDropped(final VmId other) {}
    };

    /**
     * Adds to a digest that is about to be sent.
     *
     * @param digest the digest
     * @param other the VM that it is sent to
     * @param excluded the VMs whose reports must not be sent over this edge
     * @param full whether the digest holds everything, as the one before may not have arrived
     */
    void add(Digest.Builder digest, VmId other, Set<VmId> excluded, boolean full);

    /**
     * Receives a digest, in the order of sending and none twice.
     *
     * @param other the VM that sent it
     * @param digest the digest
     */
    void received(VmId other, Digest digest);

    /**
     * Called when what a VM has sent is no longer in use.
     *
     * @param other the VM
     */
    void edgeDropped(VmId other);
}
