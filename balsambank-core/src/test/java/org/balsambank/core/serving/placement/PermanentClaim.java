package org.balsambank.core.serving.placement;

import org.balsambank.core.id.VmId;

/** A claim that stays valid until it is marked as lost. Confined to one thread. */
final class PermanentClaim implements HeldClaim {
    private final long fence;
    private boolean lost;

    PermanentClaim(final long fence) {
        this.fence = fence;
    }

    @Override
    public boolean valid() {
        return !lost;
    }

    @Override
    public long fence() {
        return fence;
    }

    @Override
    public VmId holder() {
        return new VmId("vm");
    }

    @Override
    public void markLost() {
        lost = true;
    }
}
