package org.balsambank.core.team;

import org.balsambank.core.id.VmId;

/**
 * One run of a VM that borrows.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM
 * @param boot tells runs of the VM apart
 */
record BorrowerId(VmId vm, long boot) {}
