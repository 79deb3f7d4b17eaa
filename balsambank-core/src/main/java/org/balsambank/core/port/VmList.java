package org.balsambank.core.port;

import java.util.List;

import io.reactivex.rxjava3.core.Single;

/**
 * The platform's list of VMs. It may be out of date.
 *
 * <p>Results arrive on the decision loop of the VM.
 */
public interface VmList {
    /**
     * Fetches the list.
     *
     * @return the VMs known to the platform
     */
    Single<List<VmEntry>> list();
}
