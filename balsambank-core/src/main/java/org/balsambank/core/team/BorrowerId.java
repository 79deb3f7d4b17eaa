package org.balsambank.core.team;

import org.balsambank.core.id.VmId;

/**
 * Identifies one process of a VM as a borrower of shares.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM
 * @param boot distinguishes the processes that the VM has run
 */
record BorrowerId(VmId vm, long boot) {}
