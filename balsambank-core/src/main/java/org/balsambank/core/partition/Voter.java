package org.balsambank.core.partition;

import java.util.Objects;

import org.balsambank.core.id.VmId;

/**
 * One process of the fleet in its role as a voter on assignments. A restarted process is another voter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM
 * @param boot unique for each start of the process
 */
record Voter(VmId vm, String boot) implements Comparable<Voter> {
    /** Checks that no component is null. */
    Voter {
        Objects.requireNonNull(vm);
        Objects.requireNonNull(boot);
    }

    @Override
    public int compareTo(final Voter other) {
        final int byVm = vm.compareTo(other.vm);
        return byVm == 0 ? boot.compareTo(other.boot) : byVm;
    }
}
