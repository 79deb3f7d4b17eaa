package org.balsambank.core.partition;

import java.util.Objects;

import org.balsambank.core.id.VmId;

/**
 * One registration of a process under one lease. After the lease has ended the process registers as another member.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM
 * @param boot unique for each start of the process
 * @param registration the number of this registration of the process, counted from 1
 */
public record Member(VmId vm, String boot, int registration) {
    /** Checks that the VM and the boot id are not null. */
    public Member {
        Objects.requireNonNull(vm);
        Objects.requireNonNull(boot);
    }

    /**
     * Returns the process as a voter.
     *
     * @return the voter
     */
    Voter voter() {
        return new Voter(vm, boot);
    }

    /**
     * Returns whether two registrations belong to the same process.
     *
     * @param other the other registration
     * @return true if the VM and the boot id are equal
     */
    boolean sameProcess(final Member other) {
        return vm.equals(other.vm) && boot.equals(other.boot);
    }
}
