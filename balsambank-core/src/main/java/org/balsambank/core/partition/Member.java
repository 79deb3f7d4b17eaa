package org.balsambank.core.partition;

import java.util.Objects;

import org.balsambank.core.id.VmId;

/**
 * One registration of a process under one lease. A lease that ends is never registered again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM
 * @param boot differs for each start of the process
 * @param registration counts the leases that the process has taken
 */
public record Member(VmId vm, String boot, int registration) {
    /** Checks that all parts are given. */
    public Member {
        Objects.requireNonNull(vm);
        Objects.requireNonNull(boot);
    }

    /**
     * Returns the process in its role as a voter.
     *
     * @return the voter
     */
    Voter voter() {
        return new Voter(vm, boot);
    }

    /**
     * Tells whether two registrations are of the same process.
     *
     * @param other the other registration
     * @return true if VM and boot are equal
     */
    boolean sameProcess(final Member other) {
        return vm.equals(other.vm) && boot.equals(other.boot);
    }
}
